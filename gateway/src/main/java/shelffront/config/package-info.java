/**
 * Reads the gateway configuration, routing settings and endpoint lists from JSON.
 *
 * <p>Invalid input is reported as a {@link shelffront.config.MalformedInputException}.
 */
package shelffront.config;
