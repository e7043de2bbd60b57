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

/** Engine that loses its next `loseAnswers` answers and checks fencing numbers where the order says so. */
class FakeEngine implements types.IEngineClient {
  readonly sent: { readonly id: string; readonly fence: number; readonly at: number }[] = [];

  loseAnswers = 0;

  private model = '';

  private fence = 0;

  constructor(private readonly clock: manualClock.ManualClock) {}

  send(order: stateTypes.Order): Promise<types.OrderOutcome> {
    const { orderId: id, fence } = order;
    this.sent.push({ id, fence, at: this.clock.monotonic() });
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
  const dependencies = { log, state, commands, engines: engine, clock, logService };
  const service = new orderService.OrderService(dependencies, OPTIONS);
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
  it('sends an order at once to an engine that checks fencing numbers, reads the state and completes the order', async () => {
    const { clock, state, log, engine, service, order } = start();
    log.setLeading(true);
    await order('m1', true);
    await clock.advance(300);
    expect(state.orders.get('m1')).toMatchObject({ state: 'done', detail: 'read back' });
    expect(engine.sent.map(({ id }) => id)).toEqual(['m1']);
    service.dispose();
  });

  it('waits until orders of the former leader have expired before it sends to an engine without fencing', async () => {
    const { clock, state, log, engine, service, order } = start();
    log.setLeading(true);
    await order('m1', false);
    await clock.advance(TAKEOVER_MS - 1);
    expect(engine.sent).toEqual([]);
    await clock.advance(500);
    expect(state.orders.get('m1')?.state).toBe('done');
    service.dispose();
  });

  it('does not resend an order that the engine accepted while the answer was lost', async () => {
    const { clock, state, log, engine, service, order } = start();
    log.setLeading(true);
    engine.loseAnswers = 1;
    await order('m1', true);
    await order('m1', true);
    await clock.advance(5000);
    expect(state.orders.get('m1')).toMatchObject({ state: 'done', detail: 'found as ordered' });
    expect(engine.sent.length).toBe(1);
    service.dispose();
  });

  it('assigns each claim a higher fencing number and spaces loads at the rate of the weight store', async () => {
    const { clock, state, log, engine, service, order } = start();
    log.setLeading(true);
    await Promise.all(['m1', 'm2', 'm3'].map((id) => order(id, true, `engine-${id}`)));
    await clock.advance(10_000);
    expect(state.orders.open()).toEqual([]);
    const times = engine.sent.map(({ at }) => at);
    const spacing = 60_000 / OPTIONS.loadsPerMinute;
    times.slice(1).forEach((at, before) => {
      expect(at - (times[before] ?? 0)).toBeGreaterThanOrEqual(spacing);
    });
    const fences = engine.sent.map(({ fence }) => fence);
    expect([...fences].sort((a, b) => a - b)).toEqual(fences);
    expect(new Set(fences).size).toBe(3);
    service.dispose();
  });

  it('sends no order after it has lost the leadership', async () => {
    const { clock, log, engine, service, order } = start();
    log.setLeading(true);
    await order('m1', false);
    await clock.advance(1000);
    log.setLeading(false);
    await clock.advance(10 * TAKEOVER_MS);
    expect(engine.sent).toEqual([]);
    service.dispose();
  });
});
