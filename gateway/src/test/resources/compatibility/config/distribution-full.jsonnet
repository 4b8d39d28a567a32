// A hosted gateway whose tenants come by distribution, with every setting of that.
{
  listen: '127.0.0.1:15433',
  distribution: {
    name: 'g1',
    fleet: 'maps',
    region: 'west',
    zone: 'west-a',
    engine: '127.0.0.1:8500',
    lastKnownGood: '/var/lib/shelffront/last-known-good.json',
    staleAfterMs: 7000,
    greatestAgeMs: 20000,
    distributors: [
      { address: '127.0.0.1:9101', region: 'west', zone: 'west-a' },
      { address: '127.0.0.1:9102' },
    ],
  },
}
