/**
 * The administration of a multi-tenant gateway over HTTP. {@link shelffront.admin.AdminServer}
 * reads requests, one class for each resource carries them out, and {@link
 * shelffront.admin.TenantAdministration} changes tenants, first in the store, then in the running
 * gateway. On threads of its own; the event loops never wait for it.
 */
package shelffront.admin;
