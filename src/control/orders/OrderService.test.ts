import * as vitest from 'vitest';
import * as manualClock from '../../common/testing/ManualClock.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as commandService from '../services/CommandService.js';
import * as controlState from '../state/ControlState.js';
import type * as stateTypes from '../state/Types.js';
import * as localLog from '../testing/LocalLog.js';
import * as orderService from './OrderService.js';
import * as types from './Types.js';

const { describe, expect, it } = vitest;
const OPTIONS = types.DEFAULT_ORDER_OPTIONS;
const TAKEOVER_MS = OPTIONS.claimLeaseMs + OPTIONS.requestTimeoutMs;

/** An engine whose answers can be lost and which may check fencing numbers. */
class FakeEngine implements types.IEngineClient {
  readonly given: { readonly id: string; readonly fence: number; readonly at: number }[] = [];

  loseAnswers = 0;

  private model = '';

  private fence = 0;

  constructor(private readonly clock: manualClock.ManualClock) {}

  send(order: stateTypes.Order): Promise<types.OrderOutcome> {
    const { orderId: id, fence } = order;
    this.given.push({ id, fence, at: this.clock.monotonic() });
    if (order.checksFencing && fence < this.fence) {
      return Promise.resolve({ kind: 'old-fence', fence: this.fence });
    }
    this.fence = fence;
    this.model = order.model;
    this.loseAnswers -= 1;
    return this.loseAnswers >= 0
      ? Promise.reject(new Error('answer lost'))
      : Promise.resolve({ kind: 'taken' });
  }

  readState(): Promise<types.IEngineState> {
    const models = [{ model: this.model, version: '', adapters: [] }];
    return Promise.resolve({ models, role: 'both' });
  }
}

function start() {
  const clock = new manualClock.ManualClock();
  const state = new controlState.ControlState();
  const log = new localLog.LocalLog('c1', state);
  const commands = new commandService.CommandService(log, clock);
  const engine = new FakeEngine(clock);
  const logService = new recordingLog.RecordingLogService();
  const needs = { log, state, commands, engines: engine, clock, logService };
  const service = new orderService.OrderService(needs, OPTIONS);
  const order = (orderId: string, checksFencing: boolean, endpoint = 'llm-1') =>
    commands.propose({
      orderCreate: {
        orderId,
        endpoint,
        address: '',
        checksFencing,
        action: 'load',
        model: orderId,
      },
    });
  return { clock, state, log, engine, service, order };
}

describe('OrderService', () => {
  it('gives an order at once where fencing numbers are checked, reads it back and ends it', async () => {
    const { clock, state, log, engine, service, order } = start();
    log.setLeading(true);
    await order('m1', true);
    await clock.advance(300);
    expect(state.orders.get('m1')).toMatchObject({ state: 'done', detail: 'read back' });
    expect(engine.given.map(({ id }) => id)).toEqual(['m1']);
    service.dispose();
  });

  it('waits out the former leader where they are not', async () => {
    const { clock, state, log, engine, service, order } = start();
    log.setLeading(true);
    await order('m1', false);
    await clock.advance(TAKEOVER_MS - 1);
    expect(engine.given).toEqual([]);
    await clock.advance(500);
    expect(state.orders.get('m1')?.state).toBe('done');
    service.dispose();
  });

  it('does not give an order again that was taken while its answer was lost', async () => {
    const { clock, state, log, engine, service, order } = start();
    log.setLeading(true);
    engine.loseAnswers = 1;
    await order('m1', true);
    await order('m1', true);
    await clock.advance(5000);
    expect(state.orders.get('m1')).toMatchObject({ state: 'done', detail: 'found as ordered' });
    expect(engine.given.length).toBe(1);
    service.dispose();
  });

  it('gives each claim a higher fencing number and spaces loads by the rate of the store', async () => {
    const { clock, state, log, engine, service, order } = start();
    log.setLeading(true);
    await Promise.all(['m1', 'm2', 'm3'].map((id) => order(id, true, `engine-${id}`)));
    await clock.advance(10_000);
    expect(state.orders.open()).toEqual([]);
    const times = engine.given.map(({ at }) => at);
    const spacing = 60_000 / OPTIONS.loadsPerMinute;
    times.slice(1).forEach((at, before) => {
      expect(at - (times[before] ?? 0)).toBeGreaterThanOrEqual(spacing);
    });
    const fences = engine.given.map(({ fence }) => fence);
    expect([...fences].sort((a, b) => a - b)).toEqual(fences);
    expect(new Set(fences).size).toBe(3);
    service.dispose();
  });

  it('gives nothing once it no longer leads', async () => {
    const { clock, log, engine, service, order } = start();
    log.setLeading(true);
    await order('m1', false);
    await clock.advance(1000);
    log.setLeading(false);
    await clock.advance(10 * TAKEOVER_MS);
    expect(engine.given).toEqual([]);
    service.dispose();
  });
});
