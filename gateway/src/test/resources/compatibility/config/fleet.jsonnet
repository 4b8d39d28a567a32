// One gateway of a fleet whose gateways change things together, stage by stage: copy, change, check with `config check`.
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
