// 4,000 requests/s on two hosts with spare capacity. A gateway that treats a short pause of a fast host as an outage
// ejects both hosts in turn and rejects nearly all requests. The relay sends the same load to one of the hosts.
local load = { one: { perSecond: 4000, connections: 32 } };
(import 'relay-baseline.jsonnet') + {
  phases: [
    { name: 'relay', relay: true, load: load },
    { name: 'gateway', load: load },
  ],
  claims: [{ phase: 'gateway', against: 'relay', tenant: 'one', within: 0.05 }],
}
