/** A client's request and its attempts: all that frontend and backend both know. */
package shelffront.request;
