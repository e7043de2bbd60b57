import * as blame from '../../src/blame/testing/Blame.js';
import type * as batching from '../../src/batching/Types.js';
import * as recordingLog from '../../src/common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../src/common/testing/RecordingMetricsService.js';
import type * as virtualClock from '../../src/common/testing/VirtualClock.js';
import * as coordinators from '../../src/coordination/Coordinator.js';
import * as heldResults from '../../src/coordination/HeldResults.js';
import type * as coordination from '../../src/coordination/Types.js';
import * as unlimitedRateLimiter from '../../src/ratelimit/testing/UnlimitedRateLimiter.js';
import type * as endpointDirectory from '../../src/routing/EndpointDirectory.js';
import type * as routing from '../../src/routing/Types.js';
import * as mortalCaller from './MortalCaller.js';

const LOST: coordination.PlanOutcome = { kind: 'refused', reason: 'lost', retryAfter: 0 };

/** When the coordinator is lost, and how long there is none. */
export interface IFailover {
  readonly at: number;
  readonly gapMs: number;
  /** Whether entry VMs hand what was made to the successor. */
  readonly handsOver: boolean;
}

/** The view of an entry VM whose coordinator is killed once and has a successor after a while. */
export class FailoverPlanner implements coordination.IPlanner {
  private caller: mortalCaller.MortalCaller;

  private coordinator: coordinators.Coordinator | undefined;

  private session = 1;

  private readonly held: heldResults.HeldResults;

  private readonly lose: (() => void)[] = [];

  /** The newest plan of each request. */
  private readonly current = new Map<string, string>();

  /** Plays `failover` with the product's coordinator. */
  constructor(
    private readonly stages: batching.IStageCaller,
    private readonly directory: endpointDirectory.EndpointDirectory,
    private readonly clock: virtualClock.VirtualClock,
    private readonly table: routing.IRoutingTable,
    private readonly failover: IFailover,
  ) {
    this.held = new heldResults.HeldResults(clock);
    this.caller = new mortalCaller.MortalCaller(stages);
    this.coordinator = this.start();
    clock.setTimer(failover.at, () => this.kill());
    clock.setTimer(failover.at + failover.gapMs, () => {
      this.caller = new mortalCaller.MortalCaller(stages);
      this.coordinator = this.start();
      this.session += 1;
    });
  }

  /** @inheritdoc */
  async plan(req: coordination.IPlanRequest): Promise<coordination.PlanOutcome> {
    const started = this.clock.monotonic();
    let { planId } = req;
    this.current.set(planId, planId);
    for (;;) {
      const waited = this.clock.monotonic() - started;
      const held = this.failover.handsOver ? this.held.resultsOf(planId) : [];
      if (waited > 0) {
        this.held.forget(planId);
        planId = `${planId}'`;
        this.current.set(req.planId, planId);
      }
      const left = { goalLeft: req.goalLeft - waited, deadlineLeft: req.deadlineLeft - waited };
      const outcome = await this.ask({ ...req, ...left, planId, held });
      if (outcome.kind !== 'refused' || outcome.reason !== 'lost') {
        return outcome;
      }
      if (left.deadlineLeft <= 0) {
        return { ...outcome, reason: 'too-late' };
      }
      await this.clock.sleep(40);
    }
  }

  /** @inheritdoc */
  reassign(
    planId: string,
    failed: string,
    failure: coordination.EngineFailure,
  ): Promise<coordination.PlanOutcome> {
    return this.coordinator?.reassign(planId, failed, failure) ?? Promise.resolve(LOST);
  }

  /** @inheritdoc */
  hedge(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  /** @inheritdoc */
  settleHedge(): void {}

  /** @inheritdoc */
  cancel(planId: string): void {
    this.coordinator?.cancel(planId);
  }

  /** @inheritdoc */
  markStarted(firstId: string, isSuccess: boolean): void {
    const planId = this.current.get(firstId) ?? firstId;
    if (this.held.belongsTo(planId, this.session)) {
      this.coordinator?.markStarted(planId, isSuccess);
    } else if (this.failover.handsOver) {
      this.coordinator?.freeResults(this.held.resultsOf(planId));
    }
  }

  /** @inheritdoc */
  markEnded(firstId: string): void {
    this.coordinator?.markEnded(this.current.get(firstId) ?? firstId);
  }

  private ask(req: coordination.IPlanRequest): Promise<coordination.PlanOutcome> {
    const { coordinator } = this;
    this.held.track(req.planId, this.session, req.held);
    if (coordinator === undefined) {
      return Promise.resolve(LOST);
    }
    return new Promise((resolve) => {
      this.lose.push(() => resolve(LOST));
      void coordinator
        .plan(req, (record) => this.held.add(req.planId, record))
        .then((outcome) => {
          if (this.coordinator === coordinator) {
            resolve(outcome);
          }
        });
    });
  }

  private kill(): void {
    this.caller.dead = true;
    this.coordinator = undefined;
    this.lose.forEach((lose) => lose());
  }

  private start(): coordinators.Coordinator {
    const coordinator = new coordinators.Coordinator({
      clock: this.clock,
      caller: this.caller,
      directory: this.directory,
      ...blame.makeBlame(this.clock),
      rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
    coordinator.configure(this.table);
    return coordinator;
  }
}
