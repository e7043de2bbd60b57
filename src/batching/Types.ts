/** Types for batching stage items: one call to an endpoint carries items of many requests. */
import type * as commonTypes from '../common/Types.js';
import type * as routing from '../routing/Types.js';

/** One item as sent to an endpoint. */
export interface IStageItem {
  readonly requestId: string;
  /** Position of the stage in its route. */
  readonly stage: number;
  /** Position of the item in its stage. */
  readonly segment: number;
  /** Key of the input, in stages without dependencies; absent when `inputs` is set. */
  readonly key?: string;
  /** Handles of the results that the item reads; absent in stages without dependencies. */
  readonly inputs?: readonly string[];
  /** Time until the request's deadline, in milliseconds. */
  readonly timeLeft: commonTypes.Millis;
}

/**
 * Why an endpoint produced no result for an item: `late` when its time had run out, `gone` when an input no longer
 * exists, `room` when the endpoint had no free capacity for the result, `error` for any other fault. The reason
 * `gone` of `StageCallError` has another meaning.
 */
export type ItemFailure = 'late' | 'gone' | 'room' | 'error';

/** Outcome of one item: the handle of its result, or the reason for the failure. */
export type ItemOutcome = { readonly handle: string } | { readonly failure: ItemFailure };

/** Error of a call that returned no outcome for any item. */
export class StageCallError extends Error {
  /**
   * `full` when the endpoint's limit of concurrent calls was reached, `gone` when another endpoint answers at its
   * address (the `gone` of `ItemFailure` refers to an input instead), `failed` otherwise.
   */
  constructor(
    readonly reason: 'full' | 'gone' | 'failed',
    message: string,
  ) {
    super(message);
    this.name = 'StageCallError';
  }
}

/** Client for the endpoints of stage services. */
export interface IStageCaller {
  /**
   * Runs a batch on an endpoint; resolves with one outcome per item, in the order of `items`.
   *
   * @throws StageCallError when the call fails as a whole.
   */
  run(
    endpoint: routing.IEndpoint,
    items: readonly IStageItem[],
    timeout: commonTypes.Millis,
  ): Promise<readonly ItemOutcome[]>;
  /**
   * Frees results on their endpoint; resolves with false on failure, in which case they stay there until they
   * expire.
   */
  free(endpoint: routing.IEndpoint, handles: readonly string[]): Promise<boolean>;
}

/** A result as one planner (`IPlanner` in coordination/) passes it to another, which continues the request. */
export interface IResultRecord {
  /** Position of the stage in its route. */
  readonly stage: number;
  /** Position of the item in its stage. */
  readonly segment: number;
  readonly handle: string;
  /** Id of the endpoint that produced the result and holds it. */
  readonly maker: string;
  /** Time until the result expires, in milliseconds. */
  readonly life: commonTypes.Millis;
}

/** A result held by the endpoint that produced it. */
export interface IHeldResult {
  readonly handle: string;
  /** Endpoint that produced the result and holds it. */
  readonly maker: routing.IEndpoint;
  readonly bytes: number;
  /** Expiry time on the monotonic clock. */
  readonly expiresAt: commonTypes.Millis;
  /**
   * Stops counting the result against the capacity of its endpoint. Local bookkeeping only: the endpoint keeps the
   * result until `IStageCaller.free` or its expiry. Idempotent.
   */
  release(): void;
}

/** A queued item and the callbacks for its outcome. */
export interface IQueuedItem {
  readonly item: Omit<IStageItem, 'timeLeft'>;
  /** Receives the result. */
  onResult(result: IHeldResult): void;
  /**
   * Receives the failure; `expired` when the item was dropped from the queue because it could not start in
   * time.
   */
  onFailure(failure: ItemFailure | 'expired'): void;
}

/**
 * Items of one stage of one request. The request proceeds only once all of them are complete. Times are those
 * of the monotonic clock.
 */
export interface IItemGroup {
  readonly items: readonly IQueuedItem[];
  /** Approximate size of one result. */
  readonly resultBytes: number;
  /** Latest start with which the request still meets its latency goal. */
  readonly latestStartForGoal: commonTypes.Millis;
  /** Latest start with which the request still meets its deadline. */
  readonly latestStartForDeadline: commonTypes.Millis;
  readonly deadline: commonTypes.Millis;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /** Time at which the group was queued. */
  readonly queuedAt: commonTypes.Millis;
  /**
   * Availability zone that holds most bytes of the inputs. Without inputs, the zone of the request's most recent
   * result; before the first result, the zone of the endpoint that is expected to read the final results.
   */
  readonly preferredZone: string | undefined;
  /** Bytes transferred between zones when the group runs outside its preferred zone. */
  readonly crossZoneBytes: number;
  /** Whether the group's inputs occupy more room than its results will. */
  readonly freesRoom: boolean;
  /** Time at which the first input expires; infinite without inputs. */
  readonly inputsExpireAt: commonTypes.Millis;
  /** Longest queueing delay that the results face in the stages after this one, in milliseconds. */
  downstreamDelay(): commonTypes.Millis;
  /** Whether the request has ended, so that the results are no longer needed. */
  isCancelled(): boolean;
}
