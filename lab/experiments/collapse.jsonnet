// Not kept yet: two boxes with room to spare, and the gateway refuses or delays nearly all of 4,000 requests a second.
// The start of "beliefs that heal"; the relay takes the same load to one of the two boxes.
local load = { one: { perSecond: 4000, connections: 32 } };
(import 'relay-baseline.jsonnet') + {
  phases: [
    { name: 'relay', relay: true, load: load },
    { name: 'gateway', load: load },
  ],
  claims: [{ phase: 'gateway', against: 'relay', tenant: 'one', within: 0.05 }],
}
