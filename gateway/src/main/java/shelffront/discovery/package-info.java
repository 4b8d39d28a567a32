/** The endpoint list from discovery: a standing watch, and fetches of the whole list, over HTTP. */
package shelffront.discovery;
