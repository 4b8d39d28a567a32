// Throughput of one event loop compared with a relay that copies bytes: the same load on both, at increasing rates.
local load(perSecond) = { one: { perSecond: perSecond, connections: 64, arrivals: 'poisson' } };
local rates = [4000, 8000, 12000, 16000];
(import 'relay-baseline.jsonnet') + {
  warmSeconds: 3,
  seconds: 4,
  short: { warmSeconds: 1, seconds: 2 },
  phases: std.flattenArrays([[
    { name: 'relay, %d/s' % r, relay: true, load: load(r) },
    { name: 'gateway, %d/s' % r, load: load(r) },
  ] for r in rates]),
  claims: [{ phase: 'gateway, 4000/s', against: 'relay, 4000/s', tenant: 'one', within: 0.05 }],
}
