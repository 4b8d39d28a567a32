/**
 * Limits that each gateway applies on its own so that the load of the whole fleet stays bounded
 * without messages between gateways: endpoint subsets, budgets for warming endpoints, and budgets
 * for health checks.
 */
package shelffront.fleet;
