/** How a gateway obtains the endpoint list: pure decisions about its calls to discovery. */
package shelffront.membership;
