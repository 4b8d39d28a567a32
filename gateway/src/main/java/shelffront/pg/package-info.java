/**
 * Framing of the PostgreSQL wire protocol, version 3, and parsing of the request comment, without
 * I/O.
 *
 * <p>Invalid bytes raise a {@link shelffront.pg.ProtocolException} with an SQLSTATE.
 */
package shelffront.pg;
