// CPU cost of a request with 1, 20 and 2,000 tenants, of which at most 20 are active. One replica set serves all.
local count = 2000;
local busy = 20;
local rate = 1000;
local id(i) = 't%04d' % i;
local tenant = {
  classes: [{ name: 'read', aimMs: 300, giveUpMs: 1000, read: 'any' }],
  limits: { openRequests: 1000, clientConnections: 400, hostConnections: 100 },
};
local load(n) = { [id(i)]: { perSecond: rate / n, connections: std.max(4, 80 / n), calm: true } for i in std.range(0, n - 1) };
{
  capacity: { requestsPerSecond: 0, openRequests: 2000 },
  sockets: 4096,
  oneSet: true,
  set: { replicas: 3, cores: 16, workMs: 2, lagMs: 10 },
  tenants: { [id(i)]: tenant for i in std.range(0, count - 1) },
  warmSeconds: 4,
  seconds: 10,
  phases: [
    { name: 'warm-up', tenants: busy, load: load(busy) },
    { name: '1', tenants: 1, load: load(1) },
    { name: '20', tenants: busy, load: load(busy) },
    { name: '2000', tenants: count, load: load(busy) },
  ],
  claims: [
    { phase: '20', costAgainst: '1', within: 0.1 },
    { phase: '2000', costAgainst: '1', within: 0.1 },
    { phase: '2000', costAgainst: '20', within: 0.1 },
  ],
}
