/**
 * The tenants of a gateway. {@link shelffront.tenant.TenantSpec} says what a tenant is, {@link
 * shelffront.tenant.TenantSpecCodec} reads it from JSON, {@link shelffront.tenant.Tenant} is one
 * that is served, and {@link shelffront.tenant.TenantRegistry} finds it for a client. All but the
 * codec and {@link shelffront.tenant.ApiKeys} belongs to one loop thread.
 */
package shelffront.tenant;
