/**
 * Distribution of configuration to a fleet: the engine decides, distributors carry, gateways serve.
 * The rules are in {@code core}'s {@code shelffront.distribution}; here are the engine's side
 * ({@link shelffront.controlplane.ChangeStore}), the distributor's role with its HTTP server, and
 * the subscriber that gateways and distributors share. {@code docs/design/distribution.md} has the
 * options and figures.
 */
package shelffront.controlplane;
