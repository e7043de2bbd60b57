import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as documentState from '../control/document/DocumentState.js';
import * as sharedState from '../control/document/SharedState.js';
import * as streamVersions from '../coordination/StreamVersions.js';
import * as versionRecord from '../coordination/VersionRecord.js';
import type * as types from './Types.js';
import * as zoneRecord from './ZoneRecord.js';

const { describe, expect, test } = vitest;
const ZONES = ['a', 'b', 'c'];
const DOCUMENT = documentState.DocumentState.encode({ version: 1, text: '{}' });

/** Versions of streams play no part here. */
const streams = new streamVersions.StreamVersions(new manualClock.ManualClock());

function makeReplica(): sharedState.SharedState {
  return new sharedState.SharedState(streams);
}

/** What operators and the group do, in the order of the replicated log. */
type Step =
  | { readonly kind: 'order'; readonly order: types.IZoneOrder; readonly times: number }
  | { readonly kind: 'document' }
  /** A replica is replaced by one that starts from the snapshot of another, or from its own. */
  | { readonly kind: 'restore'; readonly from: number; readonly to: number }
  /** A replica is replaced by one that applies the whole log. */
  | { readonly kind: 'replay'; readonly to: number };

const replicaIndex = fastCheck.nat({ max: 2 });
const step: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constant('order' as const),
    order: fastCheck.record({
      zone: fastCheck.constantFrom(...ZONES),
      isClosed: fastCheck.boolean(),
    }),
    times: fastCheck.integer({ min: 1, max: 3 }),
  }),
  fastCheck.record({ kind: fastCheck.constant('document' as const) }),
  fastCheck.record({
    kind: fastCheck.constant('restore' as const),
    from: replicaIndex,
    to: replicaIndex,
  }),
  fastCheck.record({ kind: fastCheck.constant('replay' as const), to: replicaIndex }),
);

describe('zones out of service, in the replicated state', () => {
  test('are those whose last order closed them, on each replica, after any orders, repeats and restarts', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(step, { maxLength: 30 }), (steps) => {
        const replicas = [makeReplica(), makeReplica(), makeReplica()];
        const log: Uint8Array[] = [];
        const last = new Map<string, boolean>();
        const append = (command: Uint8Array): void => {
          log.push(command);
          replicas.forEach((replica) => replica.apply(log.length, command));
        };
        steps.forEach((each) => {
          const revision = replicas[0]?.zones.current.revision ?? 0;
          if (each.kind === 'order') {
            const { zone, isClosed } = each.order;
            const isChange = (last.get(zone) ?? false) !== isClosed;
            Array.from({ length: each.times }, () => append(zoneRecord.encode(each.order)));
            last.set(zone, isClosed);
            expect(replicas[0]?.zones.current.revision).toBe(revision + (isChange ? 1 : 0));
          } else if (each.kind === 'document') {
            append(DOCUMENT);
          } else {
            const fresh = makeReplica();
            if (each.kind === 'restore') {
              fresh.restore((replicas[each.from] as sharedState.SharedState).snapshot());
            } else {
              log.forEach((command, at) => fresh.apply(at + 1, command));
            }
            replicas[each.to] = fresh;
          }
        });
        const closed = ZONES.filter((zone) => last.get(zone) === true);
        const [first] = replicas;
        expect(first?.zones.current.zones).toEqual(closed);
        replicas.forEach(({ zones, document }) => {
          expect(zones.current).toEqual(first?.zones.current);
          expect(document.current).toEqual(first?.document.current);
        });
      }),
      { numRuns: 200, seed: 44 },
    );
  });

  test('fire a change once for each order that changes something', () => {
    const { zones } = makeReplica();
    const seen: types.IClosedZones[] = [];
    zones.onChange((closed) => seen.push(closed));
    zones.apply({ zone: 'b', isClosed: false });
    zones.apply({ zone: 'b', isClosed: true });
    zones.apply({ zone: 'b', isClosed: true });
    zones.apply({ zone: 'a', isClosed: true });
    zones.apply({ zone: 'b', isClosed: false });
    expect(seen).toEqual([
      { revision: 1, zones: ['b'] },
      { revision: 2, zones: ['a', 'b'] },
      { revision: 3, zones: ['a'] },
    ]);
  });

  test('are passed over by a build that knows no zones, also in a snapshot before the first document', () => {
    const replica = makeReplica();
    const order = zoneRecord.encode({ zone: 'a', isClosed: true });
    replica.apply(1, order);
    expect(versionRecord.isRecord(order)).toBe(true);
    expect(versionRecord.decode(order)).toBeUndefined();
    const earlier = new documentState.DocumentState();
    earlier.restore(replica.snapshot());
    expect(documentState.DocumentState.decodeResult(earlier.apply(2, DOCUMENT))).toBe('accepted');
    expect(earlier.current).toEqual({ version: 1, text: '{}' });
  });

  test('stay when a snapshot of a build that knows no zones is restored', () => {
    const replica = makeReplica();
    replica.apply(1, zoneRecord.encode({ zone: 'a', isClosed: true }));
    const earlier = new documentState.DocumentState();
    earlier.apply(2, DOCUMENT);
    replica.restore(earlier.snapshot());
    expect(replica.zones.current).toEqual({ revision: 1, zones: ['a'] });
  });
});
