// The gateway is the bottleneck: its one core takes 200 us for each request, attempt, health check and connection, so
// its capacity is about 2,400 requests/s. The hosts have capacity for many more.
{
  virtual: true,
  seeds: 8,
  short: { seeds: 2 },
  base: { gateways: 1, boxes: 4, cores: 32, room: 400, workUs: 1000, seconds: 8, gatewayWorkUs: 200, connections: 400,
    sockets: 4096, clientConnections: 2000 },
  levels: [
    { name: '0.5 of its core', perSecond: 1200 },
    { name: '0.8 of its core', perSecond: 1900 },
    { name: '1.0 of its core', perSecond: 2400 },
    { name: '1.3 of its core', perSecond: 3100 },
    { name: '2 of its core', perSecond: 4800 },
    { name: '0.5, collector', perSecond: 1200, gatewayPauses: 2 },
  ],
  claims: [
    { level: '0.5 of its core', worthAtLeast: 0.99 },
    { level: '0.8 of its core', worthAtLeast: 0.97 },
    { level: '0.5, collector', worthAtLeast: 0.9 },
  ],
}
