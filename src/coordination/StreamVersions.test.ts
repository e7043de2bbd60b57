import * as vitest from 'vitest';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as streamVersions from './StreamVersions.js';

const { expect, test } = vitest;
const LONG_ID = 'r'.repeat(15_000);

test.each(['r-1', 'r'.repeat(128), LONG_ID])('finds a stream by its id on both VMs', (id) => {
  const clock = new virtualClock.VirtualClock();
  const entry = new streamVersions.StreamVersions(clock);
  const coordinator = new streamVersions.StreamVersions(clock);
  entry.record({ requestId: id, version: 'v1', service: 's' });
  coordinator.merge(entry.records);
  expect(coordinator.recordedVersionOf(id)).toBe('v1');
  expect(coordinator.unloggedVersionOf(id)).toBe('v1');
  expect(coordinator.recordedVersionOf(`${id}x`)).toBeUndefined();
});

test('holds and sends no long ids, whoever recorded them', () => {
  const clock = new virtualClock.VirtualClock();
  const streams = new streamVersions.StreamVersions(clock);
  const told: string[] = [];
  streams.onNews(({ requestId }) => told.push(requestId));
  streams.record({ requestId: LONG_ID, version: 'v1', service: 's' });
  streams.merge([{ requestId: `${LONG_ID}2`, version: 'v2', age: 0 }]);
  const held = streams.records.map(({ requestId }) => requestId);
  expect(held).toHaveLength(2);
  expect(Math.max(...[...held, ...told].map(({ length }) => length))).toBeLessThanOrEqual(128);
});
