/**
 * Framing of PostgreSQL's wire protocol, version 3, and the request comment; no sockets.
 *
 * <p>Bytes that do not fit are a {@link shelffront.pg.ProtocolException} with an SQLSTATE.
 */
package shelffront.pg;
