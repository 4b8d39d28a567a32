// Sample: a single gateway that serves many tenants. Copy and edit it, then run `config check`.
local shelffront = import 'shelffront.libsonnet';
{
  listen: '127.0.0.1:5433',
  admin: '127.0.0.1:8600',
  store: 'shelffront.store',
  capacity: { requestsPerSecond: 2000, openRequests: 1000 },
  tenants: [
    shelffront.tenant('airport', {
      weight: 2,
      boxes: { discovery: '127.0.0.1:8500' },
    }),
  ],
}
