/** Client of the discovery service: watches and fetches the endpoint list over HTTP. */
package shelffront.discovery;
