// Sample: a gateway of a fleet with coordinated rollouts. Copy and edit it, then run `config check`.
local shelffront = import 'shelffront.libsonnet';
{
  listen: '127.0.0.1:5433',
  admin: '127.0.0.1:8600',
  tenants: [shelffront.tenant('airport', { boxes: { discovery: '127.0.0.1:8500' } })],
  fleet: {
    engine: '127.0.0.1:8500',
    fleet: 'maps',
    name: 'g1',
    subjects: { drill: ['closed', 'half', 'open'] },
  },
}
