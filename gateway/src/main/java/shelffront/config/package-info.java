/**
 * Settings and endpoint lists from JSON, in the words of the wire.
 *
 * <p>Input that does not fit is a {@link shelffront.config.MalformedInputException}.
 */
package shelffront.config;
