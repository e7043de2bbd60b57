import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';
import type * as stageScheduler from './StageScheduler.js';
import type * as types from './Types.js';

/** Times that one item is asked for. */
const MAX_TRIES = 4;
/** A result is not used as an input when its life ends within this time. */
const EXPIRY_MARGIN_MS = 250;

/** What a request wants made before it can run. */
export interface IStageJobRequest {
  readonly requestId: string;
  readonly stages: readonly routing.IStage[];
  /** Items of each stage; 0 leaves the stage out. */
  readonly itemCounts: readonly number[];
  readonly key: string;
  readonly priority: number;
  readonly goalAt: commonTypes.Millis;
  readonly deadlineAt: commonTypes.Millis;
  /** Time from the last result to the first answer of the engine. */
  readonly engineLatency: commonTypes.Millis;
  /** Availability zone where the results are wanted. */
  readonly preferredZone: string | undefined;
}

/** What a job tells its owner. */
export interface IStageJobListener {
  /** Called once, unless the job is cancelled before. */
  onEnd(end: JobEnd): void;
  /** Takes results that nobody needs any more. */
  onDiscard(results: readonly types.IHeldResult[]): void;
  /** A result was made, which another planner could go on with. */
  onResult(record: types.IResultRecord): void;
}

/** How a job ended. */
export type JobEnd =
  | { readonly kind: 'made'; readonly results: readonly types.IHeldResult[] }
  | { readonly kind: 'failed'; readonly reason: 'expired' | 'error' };

/** `used` once everything that needed the result is made. */
type Slot = types.IHeldResult | 'waiting' | 'used' | undefined;

/** Makes the items of one request, stage after stage. */
export class StageJob {
  private readonly slots: Slot[][];

  private readonly tries = new Map<string, number>();

  private ended = false;

  private nearZone: string | undefined;

  /** Items of each stage that its lane still expects. */
  private readonly expected: number[];

  /** `laneOf` finds the lane of a stage service. */
  constructor(
    private readonly order: IStageJobRequest,
    private readonly clock: commonTypes.IClock,
    private readonly laneOf: (service: string) => stageScheduler.StageScheduler | undefined,
    private readonly listener: IStageJobListener,
  ) {
    this.slots = order.stages.map((stage, at) =>
      new Array<Slot>(order.itemCounts[at] ?? 0).fill(undefined),
    );
    this.nearZone = order.preferredZone;
    this.expected = this.slots.map((stage) => stage.length);
    this.expected.forEach((count, at) => this.expect(at, count));
  }

  /** Queues what can be made now; `records` are results that were made before. */
  start(records: readonly types.IResultRecord[] = []): void {
    records.forEach((record) => this.adopt(record));
    this.advance();
  }

  /** What is made and held, for a planner that goes on with it. */
  get records(): readonly types.IResultRecord[] {
    const now = this.clock.monotonic();
    return this.slots.flatMap((slots, stage) =>
      slots.flatMap((slot, segment) => (isHeld(slot) ? [recordOf(slot, stage, segment, now)] : [])),
    );
  }

  /** Another job goes on with the results: what waits is dropped, nothing is given back. */
  abandon(): void {
    this.markEnded();
    this.slots.forEach((stage) => {
      stage.filter(isHeld).forEach((held) => held.release());
      stage.fill(undefined);
    });
  }

  /** Nobody waits for the results any more: what waits is dropped, what was made is given back. */
  cancel(): void {
    this.markEnded();
    this.slots.forEach((stage) => this.giveBack(stage));
  }

  /** Time from the start of a stage to the end of the last, without waits. */
  static estimateRemainingTime(
    stages: readonly routing.IStage[],
    pieces: readonly number[],
    position: number,
    laneOf: (service: string) => stageScheduler.StageScheduler | undefined,
  ): commonTypes.Millis {
    const followers = stages
      .map((stage, at) => (stage.after.includes(position) && (pieces[at] ?? 0) > 0 ? at : -1))
      .filter((at) => at >= 0)
      .map((at) => {
        const wait = laneOf((stages[at] as routing.IStage).service)?.averageWait ?? 0;
        return wait + StageJob.estimateRemainingTime(stages, pieces, at, laneOf);
      });
    const own = laneOf((stages[position] as routing.IStage).service)?.typicalCallTime ?? 0;
    return own + Math.max(0, ...followers);
  }

  private advance(): void {
    if (this.ended) {
      return;
    }
    this.dropExpired();
    this.giveBackUsed();
    this.reviveInputs();
    if (this.slots.every((stage) => stage.every(isMade))) {
      this.end({ kind: 'made', results: this.finalResults() });
      return;
    }
    this.order.stages.forEach((stage, at) => this.queueStage(stage, at));
  }

  /** Results whose life ends before they could be used are made again. */
  private dropExpired(): void {
    const limit = this.clock.monotonic() + EXPIRY_MARGIN_MS;
    this.slots.forEach((stage, position) => {
      const isUsed = this.isConsumed(position);
      stage
        .filter((slot) => isHeld(slot))
        .filter((slot) => slot.expires < limit && !isUsed)
        .forEach((slot) => {
          stage.splice(stage.indexOf(slot), 1, undefined);
          this.listener.onDiscard([slot]);
        });
    });
  }

  /** Whether everything that needs a stage's results is made already. */
  private isConsumed(position: number): boolean {
    const followers = this.followersOf(position);
    return followers.length > 0 && followers.every((at) => this.slots[at]?.every(isMade));
  }

  private giveBackUsed(): void {
    this.slots.forEach((stage, position) => {
      if (stage.some(isHeld) && this.isConsumed(position)) {
        this.giveBack(stage);
        stage.fill('used');
      }
    });
  }

  /** What a stage lacks may need inputs that were given back; they are made again. */
  private reviveInputs(): void {
    [...this.slots.keys()].reverse().forEach((position) => {
      if (this.slots[position]?.some((slot) => slot === undefined)) {
        this.order.stages[position]?.after.forEach((at) => {
          const stage = this.slots[at] as Slot[];
          stage.forEach((slot, segment) => {
            stage[segment] = slot === 'used' ? undefined : slot;
          });
        });
      }
    });
  }

  private giveBack(stage: Slot[]): void {
    const held = stage.filter(isHeld);
    stage.fill(undefined);
    if (held.length > 0) {
      this.listener.onDiscard(held);
    }
  }

  private followersOf(position: number): readonly number[] {
    return this.order.stages
      .map((stage, at) => (stage.after.includes(position) && this.slots[at]?.length ? at : -1))
      .filter((at) => at >= 0);
  }

  /** Results of the stages that no other stage of this request follows. */
  private finalResults(): readonly types.IHeldResult[] {
    return this.slots.flatMap((stage, position) =>
      this.followersOf(position).length === 0 ? (stage as types.IHeldResult[]) : [],
    );
  }

  private queueStage(stage: routing.IStage, position: number): void {
    const slots = this.slots[position] as Slot[];
    const missing = slots.map((slot, at) => (slot === undefined ? at : -1)).filter((at) => at >= 0);
    const inputs = stage.after.flatMap((at) => this.slots[at] ?? []);
    if (missing.length === 0 || this.isConsumed(position) || !inputs.every(isHeld)) {
      return;
    }
    const lane = this.laneOf(stage.service);
    if (lane === undefined) {
      this.end({ kind: 'failed', reason: 'error' });
      return;
    }
    missing.forEach((at) => {
      slots[at] = 'waiting';
    });
    const held = inputs as readonly types.IHeldResult[];
    const handles = held.map((result) => result.handle);
    const heldBytes = held.reduce((sum, result) => sum + result.bytes, 0);
    const rest =
      StageJob.estimateRemainingTime(
        this.order.stages,
        this.order.itemCounts,
        position,
        this.laneOf,
      ) + this.order.engineLatency;
    const { priority, goalAt, deadlineAt } = this.order;
    lane.add({
      items: missing.map((segment) => this.waitingItem(position, segment, handles)),
      bytes: stage.resultBytes,
      goalStart: goalAt - rest,
      deadlineStart: deadlineAt - rest,
      deadline: deadlineAt,
      priority,
      queued: this.clock.monotonic(),
      nearZone: zoneOf(held) ?? this.nearZone,
      zoneBytes: held.length > 0 ? heldBytes : stage.resultBytes * missing.length,
      holdsRoom: heldBytes > stage.resultBytes * missing.length,
      inputsExpire: Math.min(Number.POSITIVE_INFINITY, ...held.map(({ expires }) => expires)),
      delayAfter: () => this.delayAfter(position),
      isDropped: () => this.ended,
    });
  }

  private waitingItem(
    position: number,
    segment: number,
    inputs: readonly string[],
  ): types.IWaitingItem {
    const { requestId, key } = this.order;
    const source = inputs.length === 0 ? { key } : { inputs };
    return {
      item: { requestId, stage: position, segment, ...source },
      onMade: (result) => this.take(position, segment, result),
      onFailed: (failure) => this.fail(position, segment, failure),
    };
  }

  private adopt(record: types.IResultRecord): void {
    const { stage: position, segment } = record;
    const stage = this.order.stages[position];
    const slots = this.slots[position];
    if (stage === undefined || slots === undefined || segment >= slots.length || slots[segment]) {
      return;
    }
    const held = this.laneOf(stage.service)?.adopt(record, stage.resultBytes);
    if (held !== undefined) {
      slots[segment] = held;
      this.expected[position] = (this.expected[position] ?? 0) - 1;
      this.expect(position, -1);
    }
  }

  private take(position: number, segment: number, result: types.IHeldResult): void {
    const stage = this.slots[position] as Slot[];
    stage[segment] = result;
    this.nearZone = result.maker.availabilityZone;
    if ((this.expected[position] ?? 0) > 0) {
      this.expected[position] = (this.expected[position] ?? 0) - 1;
      this.expect(position, -1);
    }
    if (this.ended) {
      stage[segment] = undefined;
      this.listener.onDiscard([result]);
      return;
    }
    this.listener.onResult(recordOf(result, position, segment, this.clock.monotonic()));
    if (stage.every(isHeld)) {
      this.advance();
    }
  }

  private fail(position: number, segment: number, failure: types.ItemFailure | 'expired'): void {
    if (this.ended) {
      return;
    }
    const name = `${position}/${segment}`;
    const tries = (this.tries.get(name) ?? 0) + 1;
    this.tries.set(name, tries);
    if (failure === 'expired' || failure === 'late') {
      this.end({ kind: 'failed', reason: 'expired' });
      return;
    }
    if (tries >= MAX_TRIES) {
      this.end({ kind: 'failed', reason: 'error' });
      return;
    }
    if (failure === 'gone') {
      this.forgetInputs(position);
    }
    (this.slots[position] as Slot[])[segment] = undefined;
    this.advance();
  }

  /** The inputs of a stage are made again; which of them is lost is not told. */
  private forgetInputs(position: number): void {
    this.order.stages[position]?.after.forEach((at) => {
      const stage = this.slots[at] as Slot[];
      stage.forEach((slot, segment) => {
        if (isHeld(slot)) {
          stage[segment] = undefined;
          this.listener.onDiscard([slot]);
        }
      });
    });
  }

  private end(end: JobEnd): void {
    if (!this.ended) {
      this.markEnded();
      this.listener.onEnd(end);
    }
  }

  private markEnded(): void {
    this.ended = true;
    this.expected.forEach((count, at) => this.expect(at, -count));
    this.expected.fill(0);
  }

  private delayAfter(position: number): commonTypes.Millis {
    const delays = this.followersOf(position).map((at) => {
      const { service } = this.order.stages[at] as routing.IStage;
      const delay = this.laneOf(service)?.queueDelay(this.order.priority) ?? 0;
      return Math.max(delay, this.delayAfter(at));
    });
    return Math.max(0, ...delays);
  }

  private expect(position: number, count: number): void {
    const { service } = this.order.stages[position] as routing.IStage;
    this.laneOf(service)?.addDemand(this.order.priority, count);
  }
}

/** The availability zone where most bytes of some results lie. */
function zoneOf(results: readonly types.IHeldResult[]): string | undefined {
  const bytes = new Map<string, number>();
  results.forEach((result) => {
    const { availabilityZone } = result.maker;
    bytes.set(availabilityZone, (bytes.get(availabilityZone) ?? 0) + result.bytes);
  });
  return [...bytes].sort((a, b) => b[1] - a[1])[0]?.[0];
}

function recordOf(
  { handle, maker, expires }: types.IHeldResult,
  stage: number,
  segment: number,
  now: commonTypes.Millis,
): types.IResultRecord {
  return { stage, segment, handle, maker: maker.id, life: Math.floor(expires - now) };
}

function isHeld(slot: Slot): slot is types.IHeldResult {
  return typeof slot === 'object';
}

function isMade(slot: Slot): boolean {
  return isHeld(slot) || slot === 'used';
}
