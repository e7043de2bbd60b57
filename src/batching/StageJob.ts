import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import * as stageEstimate from './StageEstimate.js';
import type * as stageScheduler from './StageScheduler.js';
import type * as types from './Types.js';

/** Maximum number of attempts per item. */
const MAX_ATTEMPTS = 4;
/** A result that expires within this time is not used as an input. */
const RESULT_EXPIRY_MARGIN_MS = 250;

/**
 * Stages and items to complete before a request can run. `goalAt` and `deadlineAt` are times of the monotonic
 * clock.
 */
export interface IStageJobRequest {
  readonly requestId: string;
  readonly stages: readonly routing.IStage[];
  /** Number of items of each stage; 0 skips the stage. */
  readonly itemCounts: readonly number[];
  /** Key of the input, for stages without dependencies. */
  readonly key: string;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /** End of the latency goal; unlike the deadline, it may be missed. */
  readonly goalAt: commonTypes.Millis;
  readonly deadlineAt: commonTypes.Millis;
  /** Time from the last result to the first response of the engine. */
  readonly engineLatency: commonTypes.Millis;
  /** Availability zone of the engine endpoint that is expected to read the final results; undefined when unknown. */
  readonly preferredZone: string | undefined;
}

/** Callbacks of a job to its owner. */
export interface IStageJobListener {
  /** Receives the outcome of the job, once; never called after `cancel` or `abandon`. */
  onOutcome(outcome: JobOutcome): void;
  /** Receives results that are no longer needed, to free them on their endpoints. */
  onDiscard(results: readonly types.IHeldResult[]): void;
  /** Receives each new result, from which another VM's planner (`IPlanner`) can continue the request. */
  onResult(record: types.IResultRecord): void;
}

/**
 * Outcome of a job: the results of its final stages, or the reason for the failure. `expired` means that the
 * request cannot meet its deadline, that it misses its latency goal after a long wait in the queue, or that an
 * endpoint reported an item as late; it does not refer to the expiry of results (`discardExpired`).
 */
export type JobOutcome =
  | { readonly kind: 'completed'; readonly results: readonly types.IHeldResult[] }
  | { readonly kind: 'failed'; readonly reason: 'expired' | 'error' };

/**
 * State of an item: a result, `waiting` while queued or in a call, `consumed` once all stages that depend on it
 * are complete and its result is discarded, undefined when it must be queued: initially, and again after a failure
 * or after its result was discarded.
 */
type Slot = types.IHeldResult | 'waiting' | 'consumed' | undefined;

/** Runs the items of one request through its stages, in the order of their dependencies. */
export class StageJob {
  private readonly slots: Slot[][];

  private readonly attempts = new Map<string, number>();

  private ended = false;

  /** Zone of the most recent result of a call; the request's preferred zone before the first one. */
  private preferredZone: string | undefined;

  /** Number of items of each stage that still count as demand at its scheduler. */
  private readonly outstandingDemand: number[];

  /** Registers the request's demand at once; `schedulerOf` returns the scheduler of a stage service. */
  constructor(
    private readonly request: IStageJobRequest,
    private readonly clock: commonTypes.IClock,
    private readonly schedulerOf: (service: string) => stageScheduler.StageScheduler | undefined,
    private readonly listener: IStageJobListener,
  ) {
    this.slots = request.stages.map((stage, stagePosition) =>
      new Array<Slot>(request.itemCounts[stagePosition] ?? 0).fill(undefined),
    );
    this.preferredZone = request.preferredZone;
    this.outstandingDemand = this.slots.map((stage) => stage.length);
    this.outstandingDemand.forEach((count, stagePosition) => this.addDemand(stagePosition, count));
  }

  /**
   * Queues the items whose inputs are available; `records` are results of earlier jobs of the request,
   * on this VM or another one.
   */
  start(records: readonly types.IResultRecord[] = []): void {
    records.forEach((record) => this.adopt(record));
    this.advance();
  }

  /** Results held now, from which another VM's planner can continue the request. */
  get records(): readonly types.IResultRecord[] {
    const now = this.clock.monotonic();
    return this.slots.flatMap((slots, stage) =>
      slots.flatMap((slot, segment) => (isHeld(slot) ? [toRecord(slot, stage, segment, now)] : [])),
    );
  }

  /**
   * Ends the job because another one continues from its results: drops queued items and leaves the results on
   * their endpoints. Results of calls in progress that arrive later are discarded.
   */
  abandon(): void {
    this.markEnded();
    this.slots.forEach((stage) => {
      stage.filter(isHeld).forEach((held) => held.release());
      stage.fill(undefined);
    });
  }

  /** Ends the job because its results are no longer needed: drops queued items and discards the results. */
  cancel(): void {
    this.markEnded();
    this.slots.forEach((stage) => this.discardStage(stage));
  }

  private advance(): void {
    if (this.ended) {
      return;
    }
    this.discardExpired();
    this.discardConsumed();
    this.resetConsumedInputs();
    if (this.slots.every((stage) => stage.every(isDone))) {
      this.finish({ kind: 'completed', results: this.finalResults() });
      return;
    }
    this.request.stages.forEach((stage, stagePosition) => this.queueStage(stage, stagePosition));
  }

  /** Discards results that expire before later stages could use them; their items run again. */
  private discardExpired(): void {
    const minExpiry = this.clock.monotonic() + RESULT_EXPIRY_MARGIN_MS;
    this.slots.forEach((stage, stagePosition) => {
      const isConsumed = this.isConsumed(stagePosition);
      stage
        .filter((slot) => isHeld(slot))
        .filter((slot) => slot.expiresAt < minExpiry && !isConsumed)
        .forEach((slot) => {
          stage.splice(stage.indexOf(slot), 1, undefined);
          this.listener.onDiscard([slot]);
        });
    });
  }

  /** Whether all stages that depend on a stage are complete. False for a final stage. */
  private isConsumed(stagePosition: number): boolean {
    const dependents = this.dependentsOf(stagePosition);
    return dependents.length > 0 && dependents.every((at) => this.slots[at]?.every(isDone));
  }

  private discardConsumed(): void {
    this.slots.forEach((stage, stagePosition) => {
      if (stage.some(isHeld) && this.isConsumed(stagePosition)) {
        this.discardStage(stage);
        stage.fill('consumed');
      }
    });
  }

  /**
   * Resets the consumed inputs of stages with missing items (undefined slots; `waiting` slots do not count), so
   * that the items that produce these inputs run again.
   */
  private resetConsumedInputs(): void {
    [...this.slots.keys()].reverse().forEach((stagePosition) => {
      if (this.slots[stagePosition]?.some((slot) => slot === undefined)) {
        this.request.stages[stagePosition]?.after.forEach((inputPosition) => {
          const stage = this.slots[inputPosition] as Slot[];
          stage.forEach((slot, segment) => {
            stage[segment] = slot === 'consumed' ? undefined : slot;
          });
        });
      }
    });
  }

  private discardStage(stage: Slot[]): void {
    const held = stage.filter(isHeld);
    stage.fill(undefined);
    if (held.length > 0) {
      this.listener.onDiscard(held);
    }
  }

  /** Positions of the stages that have items and depend on the stage at `position`; `at` is a stage position too. */
  private dependentsOf(position: number): readonly number[] {
    return this.request.stages
      .map((stage, at) => (stage.after.includes(position) && this.slots[at]?.length ? at : -1))
      .filter((at) => at >= 0);
  }

  /** Results of the stages on which no other stage of this request depends. */
  private finalResults(): readonly types.IHeldResult[] {
    return this.slots.flatMap((stage, stagePosition) =>
      this.dependentsOf(stagePosition).length === 0 ? (stage as types.IHeldResult[]) : [],
    );
  }

  private queueStage(stage: routing.IStage, stagePosition: number): void {
    const slots = this.slots[stagePosition] as Slot[];
    const missingSegments = slots
      .map((slot, segment) => (slot === undefined ? segment : -1))
      .filter((segment) => segment >= 0);
    const inputs = stage.after.flatMap((inputPosition) => this.slots[inputPosition] ?? []);
    if (missingSegments.length === 0 || this.isConsumed(stagePosition) || !inputs.every(isHeld)) {
      return;
    }
    const scheduler = this.schedulerOf(stage.service);
    if (scheduler === undefined) {
      this.finish({ kind: 'failed', reason: 'error' });
      return;
    }
    missingSegments.forEach((segment) => {
      slots[segment] = 'waiting';
    });
    const heldInputs = inputs as readonly types.IHeldResult[];
    const handles = heldInputs.map((result) => result.handle);
    const inputBytes = heldInputs.reduce((sum, result) => sum + result.bytes, 0);
    const remainingTime =
      stageEstimate.estimateRemainingTime(
        this.request.stages,
        this.request.itemCounts,
        stagePosition,
        this.schedulerOf,
      ) + this.request.engineLatency;
    const { priority, goalAt, deadlineAt } = this.request;
    scheduler.add({
      items: missingSegments.map((segment) => this.createItem(stagePosition, segment, handles)),
      resultBytes: stage.resultBytes,
      latestStartForGoal: goalAt - remainingTime,
      latestStartForDeadline: deadlineAt - remainingTime,
      deadline: deadlineAt,
      priority,
      queuedAt: this.clock.monotonic(),
      preferredZone: zoneWithMostBytes(heldInputs) ?? this.preferredZone,
      crossZoneBytes:
        heldInputs.length > 0 ? inputBytes : stage.resultBytes * missingSegments.length,
      freesRoom: inputBytes > stage.resultBytes * missingSegments.length,
      inputsExpireAt: Math.min(
        Number.POSITIVE_INFINITY,
        ...heldInputs.map(({ expiresAt }) => expiresAt),
      ),
      downstreamDelay: () => this.downstreamDelay(stagePosition),
      isCancelled: () => this.ended,
    });
  }

  private createItem(
    stagePosition: number,
    segment: number,
    inputs: readonly string[],
  ): types.IQueuedItem {
    const { requestId, key } = this.request;
    const source = inputs.length === 0 ? { key } : { inputs };
    return {
      item: { requestId, stage: stagePosition, segment, ...source },
      onResult: (result) => this.acceptResult(stagePosition, segment, result),
      onFailure: (failure) => this.handleFailure(stagePosition, segment, failure),
    };
  }

  private adopt(record: types.IResultRecord): void {
    const { stage: stagePosition, segment } = record;
    const stage = this.request.stages[stagePosition];
    const slots = this.slots[stagePosition];
    if (stage === undefined || slots === undefined || segment >= slots.length || slots[segment]) {
      return;
    }
    const held = this.schedulerOf(stage.service)?.adopt(record, stage.resultBytes);
    if (held !== undefined) {
      slots[segment] = held;
      this.outstandingDemand[stagePosition] = (this.outstandingDemand[stagePosition] ?? 0) - 1;
      this.addDemand(stagePosition, -1);
    }
  }

  private acceptResult(stagePosition: number, segment: number, result: types.IHeldResult): void {
    const stage = this.slots[stagePosition] as Slot[];
    stage[segment] = result;
    this.preferredZone = result.maker.availabilityZone;
    if ((this.outstandingDemand[stagePosition] ?? 0) > 0) {
      this.outstandingDemand[stagePosition] = (this.outstandingDemand[stagePosition] ?? 0) - 1;
      this.addDemand(stagePosition, -1);
    }
    if (this.ended) {
      stage[segment] = undefined;
      this.listener.onDiscard([result]);
      return;
    }
    this.listener.onResult(toRecord(result, stagePosition, segment, this.clock.monotonic()));
    if (stage.every(isHeld)) {
      this.advance();
    }
  }

  private handleFailure(
    stagePosition: number,
    segment: number,
    failure: types.ItemFailure | 'expired',
  ): void {
    if (this.ended) {
      return;
    }
    const itemKey = `${stagePosition}/${segment}`;
    const attempts = (this.attempts.get(itemKey) ?? 0) + 1;
    this.attempts.set(itemKey, attempts);
    if (failure === 'expired' || failure === 'late') {
      this.finish({ kind: 'failed', reason: 'expired' });
      return;
    }
    if (attempts >= MAX_ATTEMPTS) {
      this.finish({ kind: 'failed', reason: 'error' });
      return;
    }
    if (failure === 'gone') {
      this.discardInputs(stagePosition);
    }
    (this.slots[stagePosition] as Slot[])[segment] = undefined;
    this.advance();
  }

  /**
   * Discards all inputs of a stage, so that their items run again: the endpoint does not report which input
   * was lost.
   */
  private discardInputs(stagePosition: number): void {
    this.request.stages[stagePosition]?.after.forEach((inputPosition) => {
      const stage = this.slots[inputPosition] as Slot[];
      stage.forEach((slot, segment) => {
        if (isHeld(slot)) {
          stage[segment] = undefined;
          this.listener.onDiscard([slot]);
        }
      });
    });
  }

  private finish(outcome: JobOutcome): void {
    if (!this.ended) {
      this.markEnded();
      this.listener.onOutcome(outcome);
    }
  }

  private markEnded(): void {
    this.ended = true;
    this.outstandingDemand.forEach((count, stagePosition) => this.addDemand(stagePosition, -count));
    this.outstandingDemand.fill(0);
  }

  private downstreamDelay(stagePosition: number): commonTypes.Millis {
    const delays = this.dependentsOf(stagePosition).map((dependentPosition) => {
      const { service } = this.request.stages[dependentPosition] as routing.IStage;
      const delay = this.schedulerOf(service)?.queueDelay(this.request.priority) ?? 0;
      return Math.max(delay, this.downstreamDelay(dependentPosition));
    });
    return Math.max(0, ...delays);
  }

  private addDemand(stagePosition: number, count: number): void {
    const { service, resultBytes } = this.request.stages[stagePosition] as routing.IStage;
    this.schedulerOf(service)?.addDemand(this.request.priority, count, resultBytes);
  }
}

/** Availability zone that holds most bytes of the results. */
function zoneWithMostBytes(results: readonly types.IHeldResult[]): string | undefined {
  const bytes = new Map<string, number>();
  results.forEach((result) => {
    const { availabilityZone } = result.maker;
    bytes.set(availabilityZone, (bytes.get(availabilityZone) ?? 0) + result.bytes);
  });
  return [...bytes].sort((a, b) => b[1] - a[1])[0]?.[0];
}

function toRecord(
  { handle, maker, expiresAt }: types.IHeldResult,
  stage: number,
  segment: number,
  now: commonTypes.Millis,
): types.IResultRecord {
  return { stage, segment, handle, maker: maker.id, life: Math.floor(expiresAt - now) };
}

function isHeld(slot: Slot): slot is types.IHeldResult {
  return typeof slot === 'object';
}

function isDone(slot: Slot): boolean {
  return isHeld(slot) || slot === 'consumed';
}
