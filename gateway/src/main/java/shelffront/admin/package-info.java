/**
 * The administration API of a multi-tenant gateway over HTTP. {@link shelffront.admin.AdminServer}
 * reads requests, one class for each resource executes them, and {@link
 * shelffront.admin.TenantAdministration} changes tenants, first in the store, then in the running
 * gateway. The API has its own threads; event loops never wait for it.
 */
package shelffront.admin;
