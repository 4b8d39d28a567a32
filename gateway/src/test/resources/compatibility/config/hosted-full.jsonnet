// A hosted gateway with every setting that it has, and a part in a fleet with every setting.
local shelffront = import 'shelffront.libsonnet';
{
  listen: '127.0.0.1:15433',
  admin: '[::1]:18600',
  store: '/var/lib/shelffront/tenants.store',
  cores: 3,
  sockets: 4096,
  bufferBytes: 96 * 1024 * 1024,
  capacity: { requestsPerSecond: 2500.5, openRequests: 1234 },
  tenants: [
    shelffront.tenant('airport', { weight: 2, boxes: { discovery: '127.0.0.1:8500' } }),
    shelffront.tenant('harbour', { weight: 0.5, boxes: { discovery: '127.0.0.1:8501' } }),
  ],
  fleet: {
    engine: 'engine.example:8500',
    fleet: 'maps',
    name: 'g_1',
    leaseMs: 4500,
    actMs: 2500,
    drift: 0.02,
    suspectMs: 9000,
    shards: 5,
    history: '/var/lib/shelffront/stages.jsonl',
    subjects: { drill: ['closed', 'half', 'open'], valve: ['shut', 'wide'] },
  },
}
