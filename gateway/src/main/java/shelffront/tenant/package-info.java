/**
 * The tenants of a gateway. {@link shelffront.tenant.TenantSpec} is the specification of a tenant,
 * {@link shelffront.tenant.TenantSpecCodec} reads it from JSON, {@link shelffront.tenant.Tenant}
 * serves its clients, and {@link shelffront.tenant.TenantRegistry} finds it for a client. Except
 * for the codec and {@link shelffront.tenant.ApiKeys}, all classes are confined to an event loop.
 */
package shelffront.tenant;
