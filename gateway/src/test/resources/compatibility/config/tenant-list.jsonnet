// A tenant with every setting, its boxes listed here.
{
  id: 'airport',
  weight: 2.5,
  limits: {
    requestsPerSecond: 300,
    burst: 45,
    openRequests: 150,
    clientConnections: 90,
    hostConnections: 48,
    bufferBytes: 4194304,
  },
  classes: [
    { name: 'map-read', aimMs: 600, giveUpMs: 1200, worth: 2, lateShare: 0.25, effect: 'repeatable', read: 'bounded',
      boundMs: 500, share: 4 },
    { name: 'own-read', aimMs: 1000, giveUpMs: 2000, worth: 3, read: 'session', share: 3 },
    { name: 'live-read', aimMs: 700, giveUpMs: 1500, worth: 1, read: 'fresh', share: 1 },
    { name: 'old-read', giveUpMs: 900, read: 'any', share: 0.5 },
    { name: 'map-write', aimMs: 1500, giveUpMs: 3000, worth: 6, lateShare: 0.7, effect: 'keyed', windowMs: 2000,
      read: 'write', share: 2 },
    { name: 'log-write', giveUpMs: 2500, effect: 'once', read: 'write', share: 1.5 },
  ],
  boxes: {
    list: [
      { id: 'box_1', address: '10.0.0.1:5432', group: 7, role: 'primary', zone: 'a', kind: 'large', size: 2 },
      { id: 'box-2', address: '[fe80::2]:5433', group: 7, role: 'replica', zone: 'b', kind: 'small', size: 0.5 },
      { id: 'box.3', address: '10.0.0.3:5434' },
    ],
  },
  hosts: {
    user: 'maps',
    database: 'airport_db',
    check: 'refuse',
    patienceMs: 80,
    connectTimeoutMs: 300,
    idleMs: 12000,
    attempts: 5,
    gateways: 4,
  },
  drained: ['box.3'],
  credentials: [{ user: 'reader', sha256: '00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff' }],
  graceMs: 7000,
}
