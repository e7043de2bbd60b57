import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import type * as commonTypes from '../common/Types.js';
import * as feedCodec from './FeedCodec.js';
import * as feedTraffic from './FeedTraffic.js';
import * as newsFeed from './NewsFeed.js';
import * as pacedSender from './PacedSender.js';
import * as sessionStream from './SessionStream.js';
import type * as types from './Types.js';

const { expect, test } = vitest;
const BYTES_PER_MS = 1;
const NEWS = {
  crashes: [
    {
      id: 'c',
      endpointId: 'e',
      age: 5,
      joins: undefined,
      suspects: [{ request: 'r', parts: ['p'], placedAge: 7 }],
    },
  ],
  proofs: [{ trait: 't', age: 9 }],
};

interface IReceived {
  readonly at: commonTypes.Millis;
  readonly message: types.DownMessage;
}

test('times in news of crashes that waited for their turn are right, and configurations go first', async () => {
  const clock = new manualClock.ManualClock();
  const traffic = new feedTraffic.FeedTraffic(
    clock,
    new recordingMetrics.RecordingMetricsService(),
  );
  const sender = new pacedSender.PacedSender(clock, BYTES_PER_MS);
  const feed = new newsFeed.NewsFeed(clock, sender, traffic);
  const start = clock.monotonic();
  const received: IReceived[] = [];
  const stream = new sessionStream.SessionStream(
    {
      write: (bytes: Buffer) => {
        received.push({ at: clock.monotonic() - start, message: feedCodec.decodeDown(bytes) });
      },
      end: () => {},
    } as unknown as sessionStream.ServerStream,
    traffic,
  );
  feed.send([stream, stream, stream], NEWS);
  sender.add(() => {
    stream.write({ kind: 'relays', relays: [] });
    return 1;
  });
  await clock.advance(2000);
  expect(received.map(({ message }) => message.kind)).toEqual([
    'blame',
    'relays',
    'blame',
    'blame',
  ]);
  received.forEach(({ at, message }) => {
    if (message.kind === 'blame') {
      const { crashes, proofs } = message.news;
      expect(crashes[0]).toMatchObject({ age: 5 + at, suspects: [{ placedAge: 7 + at }] });
      expect(proofs).toEqual([{ trait: 't', age: 9 + at }]);
    }
  });
  expect(received.at(-1)?.at).toBeGreaterThan(100);
  sender.dispose();
});
