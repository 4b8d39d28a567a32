// 4,000 requests a second on two boxes with room to spare. A gateway that takes a hiccup of a quick host for silence
// leaves both alone in turn and refuses nearly all; the relay takes the same load to one of them.
local load = { one: { perSecond: 4000, connections: 32 } };
(import 'relay-baseline.jsonnet') + {
  phases: [
    { name: 'relay', relay: true, load: load },
    { name: 'gateway', load: load },
  ],
  claims: [{ phase: 'gateway', against: 'relay', tenant: 'one', within: 0.05 }],
}
