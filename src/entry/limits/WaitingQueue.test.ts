import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import type * as configTypes from '../../config/Types.js';
import type * as types from './Types.js';
import * as waitingQueue from './WaitingQueue.js';

const SEED = 20_261_203;
const FLOOR = 0.25;
const SHARES: Readonly<Record<string, number>> = { a: 1, b: 1, c: 2 };

interface IItem extends types.IWaiter {
  cancelled: boolean;
  readonly order: number;
}

/** The same rules by plain lists: every step looks at everything. */
class NaiveQueue {
  private items: IItem[] = [];

  private readonly served = new Map<string, number>();

  private readonly turns = new Map<string, number>();

  private readonly classServed: Record<configTypes.Patience, number> = {
    interactive: 0,
    patient: 0,
  };

  push(item: IItem): void {
    const { patience, workspace } = item;
    if (this.of(patience).length === 0) {
      const other = patience === 'patient' ? 'interactive' : 'patient';
      this.classServed[patience] = Math.max(this.classServed[patience], this.classServed[other]);
    }
    const key = `${patience} ${workspace}`;
    if (this.of(patience).every((waiting) => waiting.workspace !== workspace)) {
      const turn = this.turns.get(patience) ?? 0;
      this.served.set(key, Math.max(this.served.get(key) ?? 0, turn));
    }
    this.items.push(item);
  }

  next(patientAllowed: boolean): IItem | undefined {
    const patient = this.of('patient');
    const interactive = this.of('interactive');
    const first = this.classServed.patient <= this.classServed.interactive;
    if (patientAllowed && patient.length > 0 && (interactive.length === 0 || first)) {
      return this.take('patient', FLOOR);
    }
    return this.take('interactive', 1 - FLOOR);
  }

  private take(patience: configTypes.Patience, part: number): IItem | undefined {
    const waiting = this.of(patience);
    const servedOf = (item: IItem): number => this.served.get(`${patience} ${item.workspace}`) ?? 0;
    const least = Math.min(...waiting.map(servedOf));
    const [item] = waiting
      .filter((candidate) => servedOf(candidate) === least)
      .sort((x, y) => x.latestStart - y.latestStart);
    if (!item) {
      return undefined;
    }
    this.items = this.items.filter((other) => other !== item);
    this.turns.set(patience, least);
    const share = SHARES[item.workspace] ?? 1;
    this.served.set(`${patience} ${item.workspace}`, least + item.work / share);
    this.classServed[patience] += item.work / part;
    return item;
  }

  private of(patience: configTypes.Patience): IItem[] {
    return this.items.filter((item) => item.patience === patience && !item.cancelled);
  }
}

const step = fastCheck.oneof(
  fastCheck.record({
    type: fastCheck.constant('push' as const),
    workspace: fastCheck.constantFrom('a', 'b', 'c'),
    patience: fastCheck.constantFrom('interactive' as const, 'patient' as const),
    // Drawn from so many that two are never the same.
    latestStart: fastCheck.double({ min: 0, max: 1e6, noNaN: true }),
    work: fastCheck.integer({ min: 1, max: 97 }),
  }),
  fastCheck.record({ type: fastCheck.constant('next' as const), allowed: fastCheck.boolean() }),
  fastCheck.record({ type: fastCheck.constant('leave' as const), at: fastCheck.nat(50) }),
);

function makeQueue(): waitingQueue.WaitingQueue<IItem> {
  return new waitingQueue.WaitingQueue<IItem>((workspace) => SHARES[workspace] ?? 1, FLOOR);
}

vitest.describe('WaitingQueue', () => {
  vitest.it('serves as much of each flow as the naive version does', () => {
    // Equal turns may be broken differently, so items are compared by what decides: class and served work.
    fastCheck.assert(
      fastCheck.property(fastCheck.array(step, { maxLength: 120 }), (steps) => {
        const queue = makeQueue();
        const naive = new NaiveQueue();
        const waiting = new Set<IItem>();
        steps.forEach((action, order) => {
          if (action.type === 'push') {
            const { workspace: name, patience, latestStart, work } = action;
            // Distinct work and start keep ties away.
            const unique = { latestStart: latestStart + order / 1e3, work: work + order / 1e6 };
            const item: IItem = { workspace: name, patience, ...unique, cancelled: false, order };
            queue.push(item);
            naive.push(item);
            waiting.add(item);
          } else if (action.type === 'next') {
            const expected = naive.next(action.allowed);
            const item = queue.dequeue(action.allowed);
            vitest.expect(item?.patience).toBe(expected?.patience);
            if (item !== expected) {
              // Both flows had the same served work: the tie is broken by the order of arrival of flows.
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

  vitest.it('divides a full pool by shares, and gives patient work its floor', () => {
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
    const part = (key: string): number => (served.get(key) ?? 0) / 4_000;
    vitest.expect(part('patient a')).toBeCloseTo(0.25, 2);
    vitest.expect(part('interactive a')).toBeCloseTo(0.75 / 4, 2);
    vitest.expect(part('interactive b')).toBeCloseTo(0.75 / 4, 2);
    vitest.expect(part('interactive c')).toBeCloseTo(0.75 / 2, 2);
  });

  vitest.it('lets a workspace stand back for what it had at other entry VMs', () => {
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
