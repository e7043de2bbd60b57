import * as vitest from 'vitest';
import * as disposableStore from '../../common/DisposableStore.js';
import * as manualClock from '../../common/testing/ManualClock.js';
import type * as peerConfigurations from './PeerConfigurations.js';
import * as peerServer from './PeerServer.js';

const POLL_MS = 1_000;

vitest.describe('PeerConfigurations', () => {
  let store: disposableStore.DisposableStore;

  vitest.beforeEach(() => {
    store = new disposableStore.DisposableStore();
  });

  vitest.afterEach(() => store.dispose());

  const holding = (version: number, ready: boolean): peerConfigurations.ILocalConfiguration => ({
    held: version === 0 ? undefined : { version, text: `text of ${version}` },
    ready,
  });

  /** Address of a peer that holds a version. */
  const peer = async (version: number, ready = true): Promise<string> => {
    const server = store.add(
      new peerServer.PeerServer(undefined, [], new manualClock.ManualClock()),
    );
    server.configurations.start(holding(version, ready));
    return `127.0.0.1:${await server.listen('127.0.0.1:0')}`;
  };

  /** Address where nobody listens. */
  const absent = async (): Promise<string> => {
    const server = new peerServer.PeerServer(undefined, [], new manualClock.ManualClock());
    const port = await server.listen('127.0.0.1:0');
    server.dispose();
    return `127.0.0.1:${port}`;
  };

  const starting = (own: number, addresses: readonly string[], clock: manualClock.ManualClock) => {
    const server = store.add(new peerServer.PeerServer(undefined, addresses, clock));
    server.configurations.start(holding(own, false));
    return server.configurations;
  };

  /** Polls until `done`; real calls need real turns of the event loop between moves of the clock. */
  const poll = async (clock: manualClock.ManualClock, done: () => boolean, rounds = 200) => {
    for (let round = 0; round < rounds && !done(); round++) {
      await clock.advance(POLL_MS);
      await new Promise<void>((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  };

  vitest.it('takes the newest once more than half of the peers have answered', async () => {
    const clock = new manualClock.ManualClock();
    const addresses = [await peer(7), await peer(9), await absent()];
    const asked = starting(8, addresses, clock);
    await poll(clock, () => asked.newest() !== undefined);
    vitest.expect(asked.newest()).toEqual({ version: 9, text: 'text of 9' });
  });

  vitest.it('keeps what this VM holds when no peer has a newer one', async () => {
    const clock = new manualClock.ManualClock();
    const asked = starting(9, [await peer(9), await peer(8)], clock);
    await poll(clock, () => asked.newest() !== undefined);
    vitest.expect(asked.newest()).toEqual({ version: 9, text: 'text of 9' });
  });

  vitest.it(
    'believes neither half of the peers nor peers that are starting themselves',
    async () => {
      const clock = new manualClock.ManualClock();
      const asked = starting(3, [await peer(5), await peer(6, false)], clock);
      await poll(clock, () => asked.newest() !== undefined, 20);
      vitest.expect(asked.newest()).toBeUndefined();
    },
  );
});
