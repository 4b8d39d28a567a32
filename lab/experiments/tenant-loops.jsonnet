// Scaling over event loops: four tenants together send more than one loop can serve, to 1, 2 and 4 loops.
local tenant = {
  classes: [{ name: 'read', aimMs: 300, giveUpMs: 1000, read: 'any' }],
  limits: { openRequests: 1000, clientConnections: 400, hostConnections: 100 },
};
local names = ['a', 'b', 'c', 'd'];
local load = { [t]: { perSecond: 4000, connections: 64 } for t in names };
{
  capacity: { requestsPerSecond: 0, openRequests: 2000 },
  sockets: 4096,
  set: { replicas: 3, cores: 16, workMs: 0.5, lagMs: 10 },
  tenants: { [t]: tenant for t in names },
  warmSeconds: 3,
  seconds: 6,
  phases: [{ name: n + ' loops', cores: n, load: load } for n in [1, 2, 4]],
  claims: [{ phase: '4 loops', against: '1 loops', tenant: t, within: 0 } for t in names],
}
