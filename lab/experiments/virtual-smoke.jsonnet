// Three simulated gateways and a replica set of four hosts: no fault, a killed or drained primary, a replica that
// vanishes, a burst of load, and two gateways that restart.
local fault(kind, at, target=0, seconds=2) = { kind: kind, at: at, target: target, seconds: seconds };
{
  virtual: true,
  seeds: 12,
  short: { seeds: 3 },
  base: { gateways: 3, boxes: 4, perSecond: 500, seconds: 12, check: 'wait' },
  levels: [
    { name: 'calm' },
    { name: 'primary dies', faults: [fault('KILL_PRIMARY', 4)] },
    { name: 'primary drained', faults: [fault('DRAIN_PRIMARY', 4)] },
    { name: 'replica vanishes', faults: [fault('VANISH_BOX', 4, 1)] },
    { name: 'crowd', faults: [fault('BURST', 4, 0, 1), fault('BURST', 4, 1, 1), fault('BURST', 4, 2, 1)] },
    { name: 'two gateways restart', faults: [fault('STOP_GATEWAY', 4, 0), fault('STOP_GATEWAY', 6, 1)] },
  ],
  claims: [
    { rules: true },
    { level: 'calm', worthAtLeast: 0.99 },
    { level: 'replica vanishes', against: 'calm', within: 0.05 },
    { level: 'primary drained', against: 'calm', within: 0.15 },
  ],
}
