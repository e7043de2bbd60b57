import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import type * as configTypes from '../../config/Types.js';
import type * as types from './Types.js';
import * as waitingQueue from './WaitingQueue.js';

const SEED = 20_261_203;
const PATIENT_MIN_RATIO = 0.25;
const SHARES: Readonly<Record<string, number>> = { a: 1, b: 1, c: 2 };

interface IItem extends types.IWaiter {
  cancelled: boolean;
  readonly order: number;
}

/** Reference implementation on plain lists: every step scans all items. */
class ReferenceQueue {
  private items: IItem[] = [];

  private readonly served = new Map<string, number>();

  private readonly virtualTimes = new Map<string, number>();

  private readonly classServed: Record<configTypes.Patience, number> = {
    interactive: 0,
    patient: 0,
  };

  push(item: IItem): void {
    const { patience, workspace } = item;
    if (this.waitingOf(patience).length === 0) {
      const other = patience === 'patient' ? 'interactive' : 'patient';
      this.classServed[patience] = Math.max(this.classServed[patience], this.classServed[other]);
    }
    const key = `${patience} ${workspace}`;
    if (this.waitingOf(patience).every((waiting) => waiting.workspace !== workspace)) {
      const virtualTime = this.virtualTimes.get(patience) ?? 0;
      this.served.set(key, Math.max(this.served.get(key) ?? 0, virtualTime));
    }
    this.items.push(item);
  }

  dequeue(patientAllowed: boolean): IItem | undefined {
    const patient = this.waitingOf('patient');
    const interactive = this.waitingOf('interactive');
    const first = this.classServed.patient <= this.classServed.interactive;
    if (patientAllowed && patient.length > 0 && (interactive.length === 0 || first)) {
      return this.dequeueClass('patient', PATIENT_MIN_RATIO);
    }
    return this.dequeueClass('interactive', 1 - PATIENT_MIN_RATIO);
  }

  private dequeueClass(patience: configTypes.Patience, classRatio: number): IItem | undefined {
    const waiting = this.waitingOf(patience);
    const servedOf = (item: IItem): number => this.served.get(`${patience} ${item.workspace}`) ?? 0;
    const least = Math.min(...waiting.map(servedOf));
    const [item] = waiting
      .filter((candidate) => servedOf(candidate) === least)
      .sort((x, y) => x.latestStart - y.latestStart);
    if (!item) {
      return undefined;
    }
    this.items = this.items.filter((other) => other !== item);
    this.virtualTimes.set(patience, least);
    const weight = SHARES[item.workspace] ?? 1;
    this.served.set(`${patience} ${item.workspace}`, least + item.work / weight);
    this.classServed[patience] += item.work / classRatio;
    return item;
  }

  private waitingOf(patience: configTypes.Patience): IItem[] {
    return this.items.filter((item) => item.patience === patience && !item.cancelled);
  }
}

const step = fastCheck.oneof(
  fastCheck.record({
    type: fastCheck.constant('push' as const),
    workspace: fastCheck.constantFrom('a', 'b', 'c'),
    patience: fastCheck.constantFrom('interactive' as const, 'patient' as const),
    // The range is large enough that two draws are never equal.
    latestStart: fastCheck.double({ min: 0, max: 1e6, noNaN: true }),
    work: fastCheck.integer({ min: 1, max: 97 }),
  }),
  fastCheck.record({ type: fastCheck.constant('next' as const), allowed: fastCheck.boolean() }),
  fastCheck.record({ type: fastCheck.constant('leave' as const), at: fastCheck.nat(50) }),
);

function makeQueue(): waitingQueue.WaitingQueue<IItem> {
  return new waitingQueue.WaitingQueue<IItem>(
    (workspace) => SHARES[workspace] ?? 1,
    PATIENT_MIN_RATIO,
  );
}

vitest.describe('WaitingQueue', () => {
  vitest.it('serves the flows in the same order as the reference implementation', () => {
    // Flows with equal served work may be ordered differently; such a run is discarded.
    fastCheck.assert(
      fastCheck.property(fastCheck.array(step, { maxLength: 120 }), (steps) => {
        const queue = makeQueue();
        const reference = new ReferenceQueue();
        const waiting = new Set<IItem>();
        steps.forEach((action, order) => {
          if (action.type === 'push') {
            const { workspace: name, patience, latestStart, work } = action;
            // Distinct work and latest start avoid ties.
            const unique = { latestStart: latestStart + order / 1e3, work: work + order / 1e6 };
            const item: IItem = { workspace: name, patience, ...unique, cancelled: false, order };
            queue.push(item);
            reference.push(item);
            waiting.add(item);
          } else if (action.type === 'next') {
            const expected = reference.dequeue(action.allowed);
            const item = queue.dequeue(action.allowed);
            vitest.expect(item?.patience).toBe(expected?.patience);
            if (item !== expected) {
              // Two flows have the same served work; the order of their arrival breaks the tie.
              vitest.expect(item?.workspace).not.toBe(expected?.workspace);
              fastCheck.pre(false);
            }
            waiting.delete(item as IItem);
          } else {
            const item = [...waiting][action.at];
            if (item) {
              item.cancelled = true;
              queue.onCancelled(item);
              waiting.delete(item);
            }
          }
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  vitest.it('divides a full pool by shares and gives patient work its guaranteed fraction', () => {
    const queue = makeQueue();
    const served = new Map<string, number>();
    let order = 0;
    const fill = (workspace: string, patience: configTypes.Patience): void => {
      order += 1;
      queue.push({ workspace, patience, latestStart: order, work: 10, cancelled: false, order });
    };
    for (let turn = 0; turn < 4_000; turn++) {
      ['a', 'b', 'c'].forEach((workspace) => fill(workspace, 'interactive'));
      fill('a', 'patient');
      const item = queue.dequeue(true);
      const key = `${item?.patience} ${item?.workspace}`;
      served.set(key, (served.get(key) ?? 0) + 1);
    }
    const ratioOf = (key: string): number => (served.get(key) ?? 0) / 4_000;
    vitest.expect(ratioOf('patient a')).toBeCloseTo(0.25, 2);
    vitest.expect(ratioOf('interactive a')).toBeCloseTo(0.75 / 4, 2);
    vitest.expect(ratioOf('interactive b')).toBeCloseTo(0.75 / 4, 2);
    vitest.expect(ratioOf('interactive c')).toBeCloseTo(0.75 / 2, 2);
  });

  vitest.it('serves a workspace later after a charge for work on other entry VMs', () => {
    const queue = makeQueue();
    for (let order = 0; order < 20; order++) {
      const workspace = order % 2 === 0 ? 'a' : 'b';
      const item = { workspace, patience: 'interactive' as const, latestStart: order };
      queue.push({ ...item, work: 10, cancelled: false, order });
    }
    queue.chargeRemoteWork('a', 'interactive', 50, 1_000);
    const first = Array.from({ length: 5 }, () => queue.dequeue(true)?.workspace);
    vitest.expect(first).toEqual(['b', 'b', 'b', 'b', 'b']);
  });
});
