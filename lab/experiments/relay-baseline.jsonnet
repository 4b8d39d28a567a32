// Cost of the gateway compared with a relay that copies bytes to one host: the same load on both, at a low and at a
// moderate rate.
local load(perSecond, connections) = { one: { perSecond: perSecond, connections: connections, calm: true } };
{
  capacity: { requestsPerSecond: 0, openRequests: 2000 },
  sockets: 4096,
  set: { replicas: 1, cores: 64, workMs: 0.2, lagMs: 10 },
  tenants: {
    one: {
      classes: [{ name: 'read', aimMs: 300, giveUpMs: 1000, read: 'any' }],
      limits: { openRequests: 1000, clientConnections: 400, hostConnections: 200 },
    },
  },
  warmSeconds: 3,
  seconds: 6,
  short: { warmSeconds: 1, seconds: 2 },
  phases: [
    { name: 'relay, 200/s', relay: true, load: load(200, 8) },
    { name: 'gateway, 200/s', load: load(200, 8) },
    { name: 'relay, 1000/s', relay: true, load: load(1000, 32) },
    { name: 'gateway, 1000/s', load: load(1000, 32) },
  ],
  // The goals for tens of thousands of connections are 60 us and 1.43 times the CPU; the claims check
  // what the gateway meets today.
  claims: [
    { phase: 'gateway, 200/s', medianAgainst: 'relay, 200/s', tenant: 'one', micros: 1000 },
    { phase: 'gateway, 1000/s', costAgainst: 'relay, 1000/s', within: 4 },
  ],
}
