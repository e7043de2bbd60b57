import * as vitest from 'vitest';
import * as simulatedGroup from './testing/SimulatedGroup.js';

const { expect, it } = vitest;

it('a leader that loses its quorum reports how long each voter has been silent', async () => {
  const group = new simulatedGroup.SimulatedGroup(3);
  const { id } = await group.startAll();
  const others = group.foundingIds.filter((each) => each !== id);
  group.network.isolate(id);
  await group.clock.advance(1000);
  const { fields } = group.logService.events.find(({ event }) => event === 'quorum-lost') ?? {};
  expect(fields).toMatchObject({ replica: id, timeout: 200, eventLoopDelay: 0 });
  const silences = String(fields?.silences).split(' ');
  expect(silences.map((each) => each.split('=')[0])).toEqual(others);
  silences.forEach((each) => expect(Number(each.split('=')[1])).toBeGreaterThan(200));
  group.dispose();
});

it('a leader whose process was stopped reports the delay of its event loop', async () => {
  const group = new simulatedGroup.SimulatedGroup(3);
  const { clock } = await group.startAll();
  clock.freeze();
  await group.clock.advance(500);
  clock.thaw();
  await group.clock.advance(500);
  const { fields } = group.logService.events.find(({ event }) => event === 'quorum-lost') ?? {};
  expect(fields?.eventLoopDelay).toBeGreaterThan(400);
  group.dispose();
});
