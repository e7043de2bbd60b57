import * as vitest from 'vitest';
import type * as batching from '../batching/Types.js';
import * as emitter from '../common/Emitter.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import type * as coordination from '../coordination/Types.js';
import * as fallbackPlanner from './FallbackPlanner.js';

const { expect, test } = vitest;
const LOST: coordination.PlanOutcome = { kind: 'refused', reason: 'lost', retryAfter: 100 };
const RECORD: batching.IResultRecord = {
  stage: 0,
  segment: 0,
  handle: 'h',
  maker: 's1',
  life: 4000,
};

test('hands a plan that waits back to a coordinator that is found, with the results that exist', async () => {
  const clock = new manualClock.ManualClock();
  const log = new recordingLog.RecordingLogService();
  const found = new emitter.Emitter<void>();
  const link = { isConnected: false, disconnectedFor: 3000 };
  const received: coordination.IPlanRequest[] = [];
  const coordinator = {
    ...link,
    onCoordinatorFound: found.event,
    resultsOf: () => [],
    forget: () => {},
    plan: async (req: coordination.IPlanRequest) => {
      received.push(req);
      return LOST;
    },
  } as unknown as fallbackPlanner.ICoordinatorPlanner;
  let abandon = (): void => {};
  const local = {
    plan: (_: unknown, onResult: coordination.ResultListener) => {
      onResult(RECORD);
      return new Promise((resolve) => {
        abandon = () => resolve(LOST);
      });
    },
    abandon: () => abandon(),
  } as unknown as fallbackPlanner.ILocalPlanner;
  const planner = new fallbackPlanner.FallbackPlanner(coordinator, local, clock, log);
  const req = { planId: 'r#1', goalLeft: 1000, deadlineLeft: 9000, held: [] };
  const outcome = planner.plan(req as unknown as coordination.IPlanRequest);
  await clock.advance(1000);
  Object.assign(coordinator, { isConnected: true });
  found.fire();
  expect(await outcome).toEqual(LOST);
  const next = { ...req, planId: 'r#2', replaces: 'r#1' };
  await planner.plan(next as unknown as coordination.IPlanRequest);
  expect(received.map(({ planId, held }) => ({ planId, held }))).toEqual([
    { planId: 'r#2', held: [{ ...RECORD, life: 3000 }] },
  ]);
  expect(log.events.map(({ event }) => event)).toEqual(['planning-alone', 'plans-handed-back']);
});

test.each([
  { pieces: [2], plansItself: true },
  { pieces: [2], isLimited: true, plansItself: false },
  { pieces: [0, 0], plansItself: true },
  { pieces: [0, 1, 4], plansItself: false },
])(
  'plans a request itself for which the coordinator has no time: $pieces, endpoints limited: $isLimited, $plansItself',
  async ({ pieces, isLimited = false, plansItself }) => {
    const clock = new manualClock.ManualClock();
    const log = new recordingLog.RecordingLogService();
    const busy = { kind: 'refused', reason: 'overloaded', retryAfter: 900, isPlannerBusy: true };
    const coordinator = {
      isConnected: true,
      onCoordinatorFound: new emitter.Emitter<void>().event,
      resultsOf: () => [],
      forget: () => {},
      plan: async () => {
        await clock.sleep(150);
        return busy;
      },
    } as unknown as fallbackPlanner.ICoordinatorPlanner;
    const planned: coordination.IPlanRequest[] = [];
    const ready = { kind: 'ready', endpoint: { id: 'e' }, inputs: [] };
    const started: string[] = [];
    const local = {
      plan: async (req: coordination.IPlanRequest) => {
        planned.push(req);
        return ready;
      },
      markStarted: (planId: string) => started.push(planId),
    } as unknown as fallbackPlanner.ILocalPlanner;
    const planner = new fallbackPlanner.FallbackPlanner(
      coordinator,
      local,
      clock,
      log,
      () => !isLimited,
    );
    const req = { planId: 'r#1', goalLeft: 1000, deadlineLeft: 9000, held: [], pieces };
    const outcome = planner.plan(req as unknown as coordination.IPlanRequest);
    await clock.advance(1000);
    expect(await outcome).toEqual(plansItself ? ready : busy);
    const left = [{ planId: 'r#1', goalLeft: 850, deadlineLeft: 8850 }];
    expect(planned).toMatchObject(plansItself ? left : []);
    if (plansItself) {
      planner.markStarted('r#1', true);
      expect(started).toEqual(['r#1']);
    }
  },
);
