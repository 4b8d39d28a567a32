// Sample: a gateway of a fleet that receives its tenants from distributors. Copy and edit it, then run `config check`.
{
  listen: '127.0.0.1:5433',
  admin: '127.0.0.1:8600',
  distribution: {
    name: 'g1',
    fleet: 'maps',
    region: 'west',
    zone: 'west-a',
    engine: '127.0.0.1:8500',
    lastKnownGood: '/var/lib/shelffront/last-known-good.json',
    distributors: [
      { address: '127.0.0.1:9101', region: 'west', zone: 'west-a' },
      { address: '127.0.0.1:9102', region: 'west', zone: 'west-b' },
    ],
  },
}
