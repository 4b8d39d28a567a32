// Functions for tenants and request classes; the last argument overrides any default.
{
  class(name, giveUpMs, more={}):: { name: name, aimMs: giveUpMs / 2, giveUpMs: giveUpMs, read: 'session' } + more,

  // Request classes of a map service: bounded-staleness reads, session reads, strong reads and writes.
  mapClasses:: [
    $.class('map-read', 1200, { read: 'bounded', boundMs: 500, worth: 2 }),
    $.class('own-edit-read', 2000, { read: 'session', worth: 3 }),
    $.class('live-read', 1500, { read: 'fresh', worth: 1 }),
    $.class('map-write', 3000, { read: 'write', effect: 'keyed', windowMs: 2000, worth: 6, lateShare: 0.7 }),
  ],

  tenant(id, more={}):: {
    id: id,
    weight: 1,
    classes: $.mapClasses,
    limits: { openRequests: 200, clientConnections: 100, hostConnections: 64, bufferBytes: 8 * 1024 * 1024 },
    graceMs: 5000,
  } + more,
}
