// The same load on the same hosts through 5, 25 and 100 gateways, which know only the size of their fleet: without
// faults, and with hosts that restart with cold caches (one of them a primary) while a fifth of the gateways is killed.
local troubles(gateways) = { faults: [
  { at: 2, kind: 'KILL_BOX', target: 1, seconds: 0.25 },
  { at: 3, kind: 'KILL_BOX', target: 8, seconds: 0.25 },
  { at: 4, kind: 'KILL_PRIMARY', target: 0, seconds: 0.25 },
] + [{ at: 3, kind: 'KILL_GATEWAY', target: i * 5, seconds: 1 } for i in std.range(0, gateways / 5 - 1)] };
local size(gateways) = { gateways: gateways, clientConnections: 40 };
{
  virtual: true,
  seeds: 8,
  short: { seeds: 1 },
  base: { sets: 2, boxes: 6, cores: 8, connections: 800, room: 60, workUs: 6000, perSecond: 1000, seconds: 8 },
  levels: [size(n) + { name: n + ' gateways, calm' } for n in [5, 25, 100]]
          + [size(n) + troubles(n) + { name: n + ' gateways, troubles' } for n in [5, 25, 100]],
  claims: [
    { rules: true },
    { level: '100 gateways, calm', worthAtLeast: 0.98 },
    { level: '100 gateways, troubles', against: '5 gateways, troubles', within: 0.1 },
  ],
}
