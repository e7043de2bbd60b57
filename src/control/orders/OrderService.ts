import * as control from '#wire/control.js';
import * as pattern from 'ts-pattern';
import * as disposableStore from '../../common/DisposableStore.js';
import type * as loggers from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import * as messages from '../../common/wire/Messages.js';
import type * as services from '../services/Services.js';
import type * as controlState from '../state/ControlState.js';
import type * as stateTypes from '../state/Types.js';
import type * as controlTypes from '../Types.js';
import * as rateLimiter from './RateLimiter.js';
import * as orderCheck from './OrderCheck.js';
import type * as types from './Types.js';

/** How often open orders are looked for. */
const SCAN_MS = 250;

/** What orders are given with. */
export interface IOrderServiceDependencies {
  readonly log: controlTypes.IReplicatedLog;
  readonly state: controlState.ControlState;
  readonly commands: services.ICommandService;
  readonly engines: types.IEngineClient;
  readonly clock: commonTypes.IClock;
  readonly logService: loggers.ILogService;
}

/**
 * Gives open orders to engines while this replica leads; one task for each engine. An order is claimed by a
 * command of the log first, whose index is its fencing number. See docs/design/orders.md.
 */
export class OrderService implements commonTypes.IDisposable {
  private readonly owned = new disposableStore.DisposableStore();

  private readonly stop = new AbortController();

  private readonly busy = new Set<string>();

  private readonly loads: rateLimiter.RateLimiter;

  private term = new AbortController();

  private leadsSince = 0;

  /** Starts the task that looks for open orders. */
  constructor(
    private readonly needs: IOrderServiceDependencies,
    private readonly options: types.IOrderOptions,
  ) {
    this.loads = new rateLimiter.RateLimiter(options.loadsPerMinute, needs.clock);
    this.term.abort();
    this.owned.add(needs.log.onLeadership((leads) => this.turn(leads)));
    void this.run();
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.term.abort();
    this.owned.dispose();
  }

  private turn(leads: boolean): void {
    this.term.abort();
    if (leads) {
      this.term = new AbortController();
      this.leadsSince = this.needs.clock.monotonic();
    }
  }

  private async run(): Promise<void> {
    const { clock } = this.needs;
    while (!this.stop.signal.aborted) {
      if (!this.term.signal.aborted) {
        this.scan(this.term.signal);
      }
      await clock.sleep(SCAN_MS, this.stop.signal).catch(() => {});
    }
  }

  /** Starts a task for each engine that has an open order and no task. */
  private scan(term: AbortSignal): void {
    this.needs.state.orders.open().forEach((order) => {
      if (!this.busy.has(order.endpoint)) {
        this.busy.add(order.endpoint);
        void this.work(order, term).finally(() => this.busy.delete(order.endpoint));
      }
    });
  }

  /** Brings one order to its end, or stops when the leadership does. */
  private async work(order: stateTypes.Order, term: AbortSignal): Promise<void> {
    const { logService, clock } = this.needs;
    let reason = '';
    for (let attempt = 0; attempt < this.options.maxAttempts && !term.aborted; attempt += 1) {
      try {
        const end = await this.attempt(this.needs.state.orders.get(order.orderId) ?? order, term);
        if (end !== undefined) {
          await this.settle(order, end.state, end.detail);
          return;
        }
        reason = 'the engine is not yet as ordered';
      } catch (err) {
        reason = err instanceof Error ? err.message : String(err);
      }
      logService.warn('order-retry', { order: order.orderId, attempt, reason });
      await clock.sleep(this.options.retryDelayMs, term).catch(() => {});
    }
    if (!term.aborted) {
      await this.settle(order, 'failed', reason).catch(() => {});
    }
  }

  /** One attempt: the end of the order, or undefined to try again. */
  private async attempt(
    order: stateTypes.Order,
    term: AbortSignal,
  ): Promise<{ readonly state: string; readonly detail: string } | undefined> {
    if (order.claimedAt > 0 && (await this.isDone(order, term))) {
      return { state: 'done', detail: 'found as ordered' };
    }
    await this.waitOutOthers(order, term);
    if (order.action === 'load') {
      await this.loads.take(term);
    }
    const outcome = await this.claimAndGive(order, term);
    return (
      pattern
        .match(outcome)
        .with({ kind: 'taken' }, async () =>
          (await this.isDone(order, term)) ? { state: 'done', detail: 'read back' } : undefined,
        )
        .with({ kind: 'refused' }, ({ message }) => ({ state: 'failed', detail: message }))
        .with({ kind: 'later' }, async ({ retryAfter }) => {
          await this.needs.clock.sleep(retryAfter, term);
          return undefined;
        })
        // Another claim was faster; the next one has a higher number.
        .with({ kind: 'old-fence' }, () => undefined)
        .exhaustive()
    );
  }

  /**
   * An engine that checks no numbers may still get an order of the former leader: one that left within the
   * lease of its claim and is under way for its whole flight.
   */
  private async waitOutOthers(order: stateTypes.Order, term: AbortSignal): Promise<void> {
    if (order.checksFencing) {
      return;
    }
    const { claimLeaseMs, requestTimeoutMs } = this.options;
    const left = this.leadsSince + claimLeaseMs + requestTimeoutMs - this.needs.clock.monotonic();
    if (left > 0) {
      await this.needs.clock.sleep(left, term);
    }
  }

  private async claimAndGive(
    order: stateTypes.Order,
    term: AbortSignal,
  ): Promise<types.OrderOutcome> {
    const { clock, engines, log } = this.needs;
    const started = clock.monotonic();
    const claimed = await this.claim(order.orderId, log.status().id);
    // The lease of this claim counts from before it was asked for.
    if (clock.monotonic() - started > this.options.claimLeaseMs || term.aborted) {
      throw new Error('the claim took longer than its lease');
    }
    return engines.send(claimed, this.flightSignal(term));
  }

  private async claim(orderId: string, replica: string): Promise<stateTypes.Order> {
    const bytes = await this.needs.commands.propose({ orderClaim: { orderId, replica } });
    const { order, refusal } = messages.decode(control.wire.Result, bytes);
    if (order?.order === null || order === null) {
      throw new Error(refusal?.message ?? 'the order was not claimed');
    }
    return order.order;
  }

  private async isDone(order: stateTypes.Order, term: AbortSignal): Promise<boolean> {
    const state = await this.needs.engines.readState(order, this.flightSignal(term));
    return orderCheck.isSatisfied(order, state);
  }

  private async settle(order: stateTypes.Order, state: string, detail: string): Promise<void> {
    const { commands, logService } = this.needs;
    await commands.propose({ orderSettle: { orderId: order.orderId, state, detail } });
    logService.info('order-ended', {
      order: order.orderId,
      endpoint: order.endpoint,
      state,
      detail,
    });
  }

  private flightSignal(term: AbortSignal): AbortSignal {
    const flight = new AbortController();
    const timer = this.needs.clock.setTimer(this.options.requestTimeoutMs, () => flight.abort());
    flight.signal.addEventListener('abort', () => timer.dispose());
    return AbortSignal.any([term, flight.signal]);
  }
}
