// A tenant with what it must have and no more, its boxes told by discovery.
{
  id: 'harbour',
  classes: [{ name: 'read', giveUpMs: 1200, read: 'session' }, { name: 'write', giveUpMs: 2400, read: 'write' }],
  boxes: { discovery: '127.0.0.1:8500' },
}
