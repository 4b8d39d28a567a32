// One of two tenants sends ten times its share; then three tenants of weights 1:2:4 all exceed their shares.
local read = { name: 'read', aimMs: 300, giveUpMs: 1000, read: 'any' };
local tenant(weight) = {
  weight: weight,
  classes: [read],
  limits: { openRequests: 1000, clientConnections: 400, hostConnections: 100 },
};
local capacity = 600;
{
  capacity: { requestsPerSecond: capacity, openRequests: 400 },
  sockets: 4096,
  set: { replicas: 3, cores: 16, workMs: 5, lagMs: 10 },
  tenants: { calm: tenant(1), rush: tenant(1), one: tenant(1), two: tenant(2), four: tenant(4) },
  warmSeconds: 3,
  seconds: 8,
  local calm = { perSecond: 200, connections: 64, calm: true },
  local flood = { perSecond: 10 * capacity / 2, connections: 128 },
  phases: [
    { name: 'alone', load: { calm: calm } },
    { name: 'flooded', load: { calm: calm, rush: flood } },
    {
      name: 'all flood',
      load: { [t]: { perSecond: 2 * capacity, connections: 96 } for t in ['one', 'two', 'four'] },
    },
    {
      name: 'weight cut under flood',
      load: { [t]: { perSecond: 2 * capacity, connections: 96 } for t in ['one', 'two', 'four'] },
      change: { four: { weight: 1 } },
    },
    {
      name: 'all flood, 3 loops',
      cores: 3,
      load: { [t]: { perSecond: 2 * capacity, connections: 96 } for t in ['one', 'two', 'four'] },
    },
    { name: 'flooded, 2 loops', cores: 2, load: { calm: calm, rush: flood } },
  ],
  claims: [
    { phase: 'flooded', against: 'alone', tenant: 'calm', within: 0.05 },
    { phase: 'all flood', within: 0.05 },
    { phase: 'weight cut under flood', within: 0.05 },
    { phase: 'all flood, 3 loops', within: 0.05 },
    { phase: 'flooded, 2 loops', against: 'alone', tenant: 'calm', within: 0.05 },
  ],
}
