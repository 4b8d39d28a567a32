/**
 * Emulators of outside systems on any transport: database hosts on PostgreSQL's protocol, and the
 * platform's endpoint discovery over HTTP.
 */
package shelffront.lab.emulator;
