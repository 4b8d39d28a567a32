// Two kinds of deployment under the same load and faults. In the first, the gateway stores session positions and polls
// discovery. In the second, requests carry their positions, discovery pushes endpoint updates with the initial roles,
// reads are hedged, and replicas respond with the data they have applied.
local calm = { name: 'remembered, calm', check: 'wait' };
local carried = { carried: true, check: 'silent' };
local troubles = { faults: [
  { at: 2, kind: 'KILL_PRIMARY', target: 0, seconds: 2 },
  { at: 6, kind: 'VANISH_BOX', target: 1, seconds: 3 },
  { at: 7, kind: 'DRAIN_PRIMARY', target: 1, seconds: 1 },
] };
{
  virtual: true,
  seeds: 60,
  short: { seeds: 3 },
  base: { gateways: 3, sets: 2, boxes: 5, cores: 3, workUs: 12000, perSecond: 300, seconds: 12, onceWrites: true,
          applyUs: 2000, shipUs: 6000, electionSeconds: 1.5 },
  levels: [
    calm,
    calm + troubles + { name: 'remembered, troubles' },
    calm + carried + { name: 'carried, calm' },
    calm + carried + troubles + { name: 'carried, troubles' },
  ],
  claims: [
    { rules: true },
    { level: 'remembered, calm', worthAtLeast: 0.98 },
    { level: 'carried, calm', worthAtLeast: 0.98 },
    { level: 'carried, troubles', against: 'remembered, troubles', within: 0.15 },
  ],
}
