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

/** Interval between two scans for open orders. */
const SCAN_INTERVAL_MS = 250;

/** Dependencies of the order service. */
export interface IOrderServiceDependencies {
  readonly log: controlTypes.IReplicatedLog;
  readonly state: controlState.ControlState;
  readonly commands: services.ICommandService;
  readonly engines: types.IEngineClient;
  readonly clock: commonTypes.IClock;
  readonly logService: loggers.ILogService;
}

/**
 * Sends open orders to engines while this replica is the leader, with one task per engine. Before an order is sent,
 * a log command claims it; the index of that command is the fencing number. See docs/design/orders.md.
 */
export class OrderService implements commonTypes.IDisposable {
  private readonly disposables = new disposableStore.DisposableStore();

  private readonly stop = new AbortController();

  private readonly enginesWithTask = new Set<string>();

  private readonly loadLimiter: rateLimiter.RateLimiter;

  private leadership = new AbortController();

  private leaderSince = 0;

  /** Starts the loop that scans for open orders. */
  constructor(
    private readonly dependencies: IOrderServiceDependencies,
    private readonly options: types.IOrderOptions,
  ) {
    this.loadLimiter = new rateLimiter.RateLimiter(options.loadsPerMinute, dependencies.clock);
    this.leadership.abort();
    this.disposables.add(
      dependencies.log.onLeadership((leads) => this.handleLeadershipChange(leads)),
    );
    void this.run();
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort();
    this.leadership.abort();
    this.disposables.dispose();
  }

  private handleLeadershipChange(leads: boolean): void {
    this.leadership.abort();
    if (leads) {
      this.leadership = new AbortController();
      this.leaderSince = this.dependencies.clock.monotonic();
    }
  }

  private async run(): Promise<void> {
    const { clock } = this.dependencies;
    while (!this.stop.signal.aborted) {
      if (!this.leadership.signal.aborted) {
        this.scan(this.leadership.signal);
      }
      await clock.sleep(SCAN_INTERVAL_MS, this.stop.signal).catch(() => {});
    }
  }

  /** Starts a task for each engine with an open order and no task. */
  private scan(leadership: AbortSignal): void {
    this.dependencies.state.orders.open().forEach((order) => {
      if (!this.enginesWithTask.has(order.endpoint)) {
        this.enginesWithTask.add(order.endpoint);
        void this.processOrder(order, leadership).finally(() =>
          this.enginesWithTask.delete(order.endpoint),
        );
      }
    });
  }

  /** Retries one order until it ends; stops when this replica is no longer the leader. */
  private async processOrder(order: stateTypes.Order, leadership: AbortSignal): Promise<void> {
    const { logService, clock } = this.dependencies;
    let reason = '';
    for (let attempt = 0; attempt < this.options.maxAttempts && !leadership.aborted; attempt += 1) {
      try {
        const result = await this.attempt(
          this.dependencies.state.orders.get(order.orderId) ?? order,
          leadership,
        );
        if (result !== undefined) {
          await this.recordResult(order, result.state, result.detail);
          return;
        }
        reason = 'the engine state does not match the order yet';
      } catch (err) {
        reason = err instanceof Error ? err.message : String(err);
      }
      logService.warn('order-retry', { order: order.orderId, attempt, reason });
      await clock.sleep(this.options.retryDelayMs, leadership).catch(() => {});
    }
    if (!leadership.aborted) {
      await this.recordResult(order, 'failed', reason).catch(() => {});
    }
  }

  /** Makes one attempt; returns the result of the order, or undefined when another attempt is needed. */
  private async attempt(
    order: stateTypes.Order,
    leadership: AbortSignal,
  ): Promise<{ readonly state: string; readonly detail: string } | undefined> {
    if (order.claimedAt > 0 && (await this.isFulfilled(order, leadership))) {
      return { state: 'done', detail: 'found as ordered' };
    }
    await this.waitForFormerLeader(order, leadership);
    if (order.action === 'load') {
      await this.loadLimiter.take(leadership);
    }
    const outcome = await this.claimAndSend(order, leadership);
    return (
      pattern
        .match(outcome)
        .with({ kind: 'taken' }, async () =>
          (await this.isFulfilled(order, leadership))
            ? { state: 'done', detail: 'read back' }
            : undefined,
        )
        .with({ kind: 'refused' }, ({ message }) => ({ state: 'failed', detail: message }))
        .with({ kind: 'later' }, async ({ retryAfter }) => {
          await this.dependencies.clock.sleep(retryAfter, leadership);
          return undefined;
        })
        // The engine has seen a later claim; the next claim gets a higher fencing number.
        .with({ kind: 'old-fence' }, () => undefined)
        .exhaustive()
    );
  }

  /**
   * Waits until no order of the former leader can reach an engine that does not check fencing numbers. Such an order
   * may be sent until its claim lease ends and may take the whole request timeout to arrive.
   */
  private async waitForFormerLeader(
    order: stateTypes.Order,
    leadership: AbortSignal,
  ): Promise<void> {
    if (order.checksFencing) {
      return;
    }
    const { claimLeaseMs, requestTimeoutMs } = this.options;
    const timeLeftMs =
      this.leaderSince + claimLeaseMs + requestTimeoutMs - this.dependencies.clock.monotonic();
    if (timeLeftMs > 0) {
      await this.dependencies.clock.sleep(timeLeftMs, leadership);
    }
  }

  private async claimAndSend(
    order: stateTypes.Order,
    leadership: AbortSignal,
  ): Promise<types.OrderOutcome> {
    const { clock, engines, log } = this.dependencies;
    const startedAt = clock.monotonic();
    const claimed = await this.claim(order.orderId, log.status().id);
    // The claim lease counts from before the claim was proposed.
    if (clock.monotonic() - startedAt > this.options.claimLeaseMs || leadership.aborted) {
      throw new Error('the claim took longer than its lease');
    }
    return engines.send(claimed, this.requestSignal(leadership));
  }

  private async claim(orderId: string, replica: string): Promise<stateTypes.Order> {
    const bytes = await this.dependencies.commands.propose({ orderClaim: { orderId, replica } });
    const { order, refusal } = messages.decode(control.wire.Result, bytes);
    if (order?.order === null || order === null) {
      throw new Error(refusal?.message ?? 'the order was not claimed');
    }
    return order.order;
  }

  private async isFulfilled(order: stateTypes.Order, leadership: AbortSignal): Promise<boolean> {
    const state = await this.dependencies.engines.readState(order, this.requestSignal(leadership));
    return orderCheck.isSatisfied(order, state);
  }

  private async recordResult(
    order: stateTypes.Order,
    state: string,
    detail: string,
  ): Promise<void> {
    const { commands, logService } = this.dependencies;
    await commands.propose({ orderSettle: { orderId: order.orderId, state, detail } });
    logService.info('order-ended', {
      order: order.orderId,
      endpoint: order.endpoint,
      state,
      detail,
    });
  }

  private requestSignal(leadership: AbortSignal): AbortSignal {
    const timeout = new AbortController();
    const timer = this.dependencies.clock.setTimer(this.options.requestTimeoutMs, () =>
      timeout.abort(),
    );
    timeout.signal.addEventListener('abort', () => timer.dispose());
    return AbortSignal.any([leadership, timeout.signal]);
  }
}
