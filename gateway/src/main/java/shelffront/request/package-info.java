/** A client request and its attempts, the types shared by frontend and backend. */
package shelffront.request;
