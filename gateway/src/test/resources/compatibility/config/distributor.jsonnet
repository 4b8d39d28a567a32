// A distributor that follows the engine; a gateway's settings of distribution, beside where it listens.
{
  listen: '127.0.0.1:0',
  name: 'd1',
  fleet: 'maps',
  region: 'west',
  zone: 'west-a',
  engine: '127.0.0.1:8500',
  staleAfterMs: 7000,
  greatestAgeMs: 20000,
}
