import * as vitest from 'vitest';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as coldEndpoints from './ColdEndpoints.js';
import * as endpointRates from './EndpointRates.js';
import * as rateLimitTable from './RateLimitTable.js';
import type * as types from './Types.js';

const { beforeEach, describe, expect, it } = vitest;
const WARM_UP: routing.IWarmUp = { duration: 3000, rate: 11 };
const SERVICES: ReadonlyMap<string, routing.IService> = new Map([
  ['s', { name: 's', maxConnections: 4, warmUp: WARM_UP }],
  ['plain', { name: 'plain', maxConnections: 4 }],
]);

describe('cold endpoints', () => {
  let clock: virtualClock.VirtualClock;
  let directory: endpointDirectory.EndpointDirectory;
  let cold: coldEndpoints.ColdEndpoints;
  let changes: types.IRateLimitChange[];
  const logService = new recordingLog.RecordingLogService();
  const metrics = new recordingMetrics.RecordingMetricsService();

  function list(...endpoints: readonly string[]): void {
    directory.replace({
      revision: endpoints.length === 0 ? 0 : 1,
      endpoints: endpoints.map((text) => {
        const [id = '', state] = text.split(' ');
        return {
          id,
          service: id.startsWith('p') ? 'plain' : 's',
          address: '127.0.0.1:1',
          availabilityZone: 'a',
          slots: 4,
          draining: state === 'draining',
        };
      }),
    });
  }

  beforeEach(() => {
    clock = new virtualClock.VirtualClock();
    directory = new endpointDirectory.EndpointDirectory();
    cold = new coldEndpoints.ColdEndpoints({ clock, logService, metrics });
    cold.follow(directory);
    cold.configure(SERVICES);
    changes = [];
    cold.onChange((change) => changes.push(change));
  });

  it('takes no endpoint of the first list for a cold one', () => {
    list('a', 'b');
    expect(cold.limitedIds).toEqual([]);
  });

  it('takes an endpoint that the list adds for cold, for the time that its service states', async () => {
    list('a');
    list('a', 'b');
    expect([cold.limitOf('a'), cold.limitOf('b')]).toEqual([undefined, 11]);
    await clock.advance(2999);
    expect(cold.limitedIds).toEqual(['b']);
    await clock.advance(1);
    expect(cold.limitedIds).toEqual([]);
    expect(changes).toEqual([
      { endpointId: 'b', isOwn: false },
      { endpointId: 'b', isOwn: false },
    ]);
  });

  it('goes by what the list says of an endpoint that it adds', async () => {
    list('a');
    cold.recordListed([
      { endpointId: 'a', left: 0 },
      { endpointId: 'b', left: 0 },
      { endpointId: 'c', left: 1200 },
    ]);
    list('a', 'b', 'c');
    expect(cold.limitedIds).toEqual(['c']);
    await clock.advance(1200);
    expect(cold.limitedIds).toEqual([]);
  });

  it('takes an endpoint that gets requests again for cold, whatever an older list says', () => {
    list('a', 'b');
    list('a', 'b draining');
    cold.recordListed([{ endpointId: 'b', left: 0 }]);
    list('a', 'b');
    expect(cold.limitedIds).toEqual(['b']);
  });

  it('takes no endpoint for new after the list was given up', () => {
    list('a');
    list();
    list('a', 'b');
    expect(cold.limitedIds).toEqual([]);
  });

  it('learns of an endpoint that becomes cold again, which outlasts what was known', async () => {
    list('a');
    cold.recordListed([{ endpointId: 'a', left: 2000 }]);
    await clock.advance(1000);
    cold.recordAnswered({ endpointId: 'a', left: 100 });
    cold.recordListed([{ endpointId: 'a', left: 3000 }]);
    await clock.advance(2900);
    expect(cold.limitedIds).toEqual(['a']);
    await clock.advance(100);
    expect(cold.limitedIds).toEqual([]);
  });

  it('tells others once of what every read of the list says', async () => {
    list('a');
    for (let left = 3000; left > 0; left -= 900) {
      cold.recordListed([{ endpointId: 'a', left: left + (left % 7) * 20 }]);
      await clock.advance(900);
    }
    expect(changes.filter(({ isOwn }) => isOwn)).toHaveLength(1);
  });

  it('takes an endpoint that has crashed for cold', () => {
    list('a', 'p');
    cold.recordCrash('a');
    cold.recordCrash('p');
    expect(cold.limitedIds).toEqual(['a']);
  });

  it('limits no endpoint of a service without a warm-up rate', () => {
    list('p');
    cold.recordListed([{ endpointId: 'p', left: 3000 }]);
    list('p', 'p2');
    expect(cold.limitedIds).toEqual([]);
    expect([cold.statements, changes]).toEqual([[], []]);
  });

  it('follows a configuration that changes or drops the rate', () => {
    list('a');
    cold.recordCrash('a');
    const withRate = (warmUp?: routing.IWarmUp): ReadonlyMap<string, routing.IService> =>
      new Map([['s', { name: 's', maxConnections: 4, ...(warmUp && { warmUp }) }]]);
    cold.configure(withRate({ duration: 3000, rate: 5 }));
    cold.configure(withRate({ duration: 9000, rate: 5 }));
    expect(cold.limitOf('a')).toBe(5);
    cold.configure(withRate());
    expect(cold.limitOf('a')).toBeUndefined();
    expect(changes).toHaveLength(3);
  });

  it('adopts what another VM knows before it has the list, and its age', async () => {
    cold.merge([{ endpointId: 'a', left: 1500 }]);
    expect(cold.limitedIds).toEqual([]);
    list('a');
    expect(changes.at(-1)).toEqual({ endpointId: 'a', isOwn: false });
    expect(cold.limitedIds).toEqual(['a']);
    await clock.advance(500);
    expect(cold.statements).toEqual([{ endpointId: 'a', left: 1000 }]);
  });

  it('bounds what one statement says, and ignores what is no time', async () => {
    list('a', 'b', 'c');
    cold.merge([
      { endpointId: 'a', left: Number.MAX_VALUE },
      { endpointId: 'b', left: Number.NaN },
      { endpointId: 'c', left: -5 },
    ]);
    expect(cold.limitedIds).toEqual(['a']);
    await clock.advance(60_000);
    expect(cold.limitedIds).toEqual([]);
  });

  it('has the lower of its rate and one that the endpoint names', () => {
    const table = new rateLimitTable.RateLimitTable({ clock, logService, metrics });
    const rates = new endpointRates.EndpointRates([table, cold]);
    const sentAt = clock.monotonic();
    list('a', 'b');
    cold.recordCrash('a');
    expect(rates.limitOf('a')).toBe(11);
    table.recordStatement({ endpointId: 'a', limit: 4, origin: 'answer', sentAt });
    table.recordStatement({ endpointId: 'b', limit: 9, origin: 'answer', sentAt });
    expect(['a', 'b', 'c'].map((id) => rates.limitOf(id))).toEqual([4, 9, undefined]);
    expect(rates.limitedIds).toEqual(['a', 'b']);
  });
});
