/**
 * What one gateway may do so that a fleet of them adds up, without messages between gateways:
 * subsets of endpoints, budgets for endpoints that start, budgets for health checks.
 */
package shelffront.fleet;
