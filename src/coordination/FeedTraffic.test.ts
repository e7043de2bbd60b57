import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as feedTraffic from './FeedTraffic.js';
import * as sessionStream from './SessionStream.js';

const { expect, test } = vitest;

test('bytes that wait for a socket are reported until it accepts them or its stream ends', async () => {
  const clock = new manualClock.ManualClock();
  const metrics = new recordingMetrics.RecordingMetricsService();
  const traffic = new feedTraffic.FeedTraffic(clock, metrics);
  const accepted: (() => void)[] = [];
  const stream = {
    write: (_: Buffer, onAccepted: () => void) => accepted.push(onAccepted),
    end: () => {},
  } as unknown as sessionStream.ServerStream;
  const first = new sessionStream.SessionStream(stream, traffic);
  const second = new sessionStream.SessionStream(stream, traffic);
  first.write({ kind: 'relays', relays: [] });
  second.write({ kind: 'relays', relays: [] });
  const { length } = JSON.stringify({ kind: 'relays', relays: [] });
  expect(traffic.queuedBytes).toBe(2 * length);
  accepted[0]?.();
  expect(traffic.queuedBytes).toBe(length);
  second.end();
  accepted[1]?.();
  second.write({ kind: 'relays', relays: [] });
  expect(traffic.queuedBytes).toBe(0);
  expect(traffic.recentBytes).toEqual([['relays', 2 * length]]);
  await clock.advance(1100);
  expect(traffic.recentBytes).toEqual([]);
  expect(metrics.counters.get('feed_bytes_sent{kind=relays}')).toBe(2 * length);
  expect(metrics.counters.get('feed_messages_encoded{kind=relays}')).toBe(3);
});

test('the kinds of messages that filled the last second are reported, the most bytes first', async () => {
  const clock = new manualClock.ManualClock();
  const metrics = new recordingMetrics.RecordingMetricsService();
  const traffic = new feedTraffic.FeedTraffic(clock, metrics);
  traffic.recordQueued('state', 10);
  await clock.advance(600);
  traffic.recordQueued('blame', 30);
  traffic.recordQueued('state', 5);
  expect(traffic.recentBytes).toEqual([
    ['blame', 30],
    ['state', 15],
  ]);
  await clock.advance(600);
  expect(traffic.recentBytes).toEqual([
    ['blame', 30],
    ['state', 5],
  ]);
});
