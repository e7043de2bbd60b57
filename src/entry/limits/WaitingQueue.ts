import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as types from './Types.js';
import * as fairQueue from './FairQueue.js';

/** Decay per dequeue of the recently served work; about the last hundred dequeues count. */
const RECENT_DECAY_RATIO = 0.99;

/** Whether patient waiters with this total work and earliest latest start (both milliseconds) are urgent. */
export type IsUrgent = (backlog: commonTypes.Millis, earliest: commonTypes.Millis) => boolean;

/**
 * Queue of one pool with two classes, patient and interactive, each a FairQueue. While both have waiters,
 * patient work gets the fraction `patientMinRatio` of the pool. The queue is work-conserving: a class
 * without waiters leaves its fraction to the other. Patient waiters that would miss their latest start at
 * that fraction take precedence until they no longer would.
 */
export class WaitingQueue<T extends types.IWaiter> implements types.IWaitingQueue<T> {
  private readonly interactive: fairQueue.FairQueue<T>;

  private readonly patient: fairQueue.FairQueue<T>;

  /** Interactive work served so far, divided by the guaranteed fraction of the class. */
  private interactiveServed = 0;

  /** Patient and interactive work served while both classes had waiters, decayed at each dequeue. */
  private recentPatient = 0;

  private recentInteractive = 0;

  /** Patient work served so far, divided by the guaranteed fraction of the class. */
  private patientServed = 0;

  /**
   * `weightOf` returns the weight of a workspace. `patientMinRatio` is the fraction of the pool guaranteed to
   * patient work while both classes have waiters; `patientMaxRatio` bounds the estimate of that fraction.
   */
  constructor(
    weightOf: (workspace: string) => number,
    private readonly patientMinRatio: number,
    private readonly patientMaxRatio = 1,
    private readonly isUrgent: IsUrgent = () => false,
  ) {
    this.interactive = new fairQueue.FairQueue(weightOf);
    this.patient = new fairQueue.FairQueue(weightOf);
  }

  /** @inheritdoc */
  size(patience: configTypes.Patience): number {
    return this.queueOf(patience).size;
  }

  /** @inheritdoc */
  push(waiter: T): void {
    if (this.queueOf(waiter.patience).size === 0) {
      this.advanceIdleClass(waiter.patience);
    }
    this.queueOf(waiter.patience).push(waiter);
  }

  /** Takes a cancelled waiter out of the counts; its `cancelled` must already be true. */
  onCancelled(waiter: T): void {
    this.queueOf(waiter.patience).onCancelled(waiter);
  }

  /** @inheritdoc */
  dequeue(patientAllowed: boolean): T | undefined {
    if (this.interactive.size === 0 || this.patient.size === 0) {
      return this.dequeueByClass(patientAllowed);
    }
    const waiter = this.dequeueByClass(patientAllowed);
    this.recordRecent(waiter);
    return waiter;
  }

  private dequeueByClass(patientAllowed: boolean): T | undefined {
    if (!patientAllowed || this.patient.size === 0) {
      return this.dequeueInteractive();
    }
    if (this.interactive.size === 0 || this.patientServed <= this.interactiveServed) {
      return this.dequeuePatient();
    }
    if (this.patientIsUrgent()) {
      // Urgent work exceeds the guaranteed fraction; charging it would delay later patient work.
      return this.patient.dequeue();
    }
    return this.dequeueInteractive();
  }

  /** Removes and returns the waiters whose latest start is before `now` (monotonic milliseconds). */
  takeExpired(now: commonTypes.Millis): readonly T[] {
    return [...this.interactive.takeExpired(now), ...this.patient.takeExpired(now)];
  }

  /** The earliest latest start of all waiters in monotonic milliseconds; Infinity when the queue is empty. */
  earliestLatestStart(): commonTypes.Millis {
    return Math.min(this.interactive.earliestLatestStart(), this.patient.earliestLatestStart());
  }

  /** @inheritdoc */
  backlogAhead(waiter: types.IWaiter): types.IBacklog {
    const { work, capacityRatio } = this.queueOf(waiter.patience).backlogAhead(waiter);
    const contended = this.queueOf(otherPatience(waiter.patience)).size > 0;
    return {
      work,
      capacityRatio: contended
        ? capacityRatio * this.recentRatioOf(waiter.patience)
        : capacityRatio,
    };
  }

  /**
   * Counts work that other entry VMs served as if it had been served here. The debt that results is at most
   * `maxDebt` slot-milliseconds.
   */
  chargeRemoteWork(
    workspace: string,
    patience: configTypes.Patience,
    work: commonTypes.Millis,
    maxDebt: commonTypes.Millis,
  ): void {
    this.queueOf(patience).charge(workspace, work, maxDebt);
  }

  private patientIsUrgent(): boolean {
    const { patient } = this;
    return patient.size > 0 && this.isUrgent(patient.backlog, patient.earliestLatestStart());
  }

  /** Fraction of the pool that a class got recently while both classes had waiters, within its bounds. */
  private recentRatioOf(patience: configTypes.Patience): number {
    const served = this.recentPatient + this.recentInteractive;
    const recentRatio = served === 0 ? 0 : this.recentPatient / served;
    const patientRatio = Math.max(
      this.patientMinRatio,
      Math.min(this.patientMaxRatio, recentRatio),
    );
    return patience === 'patient' ? patientRatio : 1 - patientRatio;
  }

  private recordRecent(waiter: T | undefined): void {
    const patient = waiter?.patience === 'patient';
    const work = waiter?.work ?? 0;
    this.recentPatient = this.recentPatient * RECENT_DECAY_RATIO + (patient ? work : 0);
    this.recentInteractive = this.recentInteractive * RECENT_DECAY_RATIO + (patient ? 0 : work);
  }

  private dequeuePatient(): T | undefined {
    const waiter = this.patient.dequeue();
    this.patientServed += (waiter?.work ?? 0) / this.patientMinRatio;
    return waiter;
  }

  private dequeueInteractive(): T | undefined {
    const waiter = this.interactive.dequeue();
    this.interactiveServed += (waiter?.work ?? 0) / this.guaranteedRatioOf('interactive');
    return waiter;
  }

  /** Raises the served work of a class that was idle, so that it gains no credit for the idle time. */
  private advanceIdleClass(patience: configTypes.Patience): void {
    if (patience === 'patient') {
      this.patientServed = Math.max(this.patientServed, this.interactiveServed);
    } else {
      this.interactiveServed = Math.max(this.interactiveServed, this.patientServed);
    }
  }

  private queueOf(patience: configTypes.Patience): fairQueue.FairQueue<T> {
    return patience === 'patient' ? this.patient : this.interactive;
  }

  private guaranteedRatioOf(patience: configTypes.Patience): number {
    return patience === 'patient' ? this.patientMinRatio : 1 - this.patientMinRatio;
  }
}

function otherPatience(patience: configTypes.Patience): configTypes.Patience {
  return patience === 'patient' ? 'interactive' : 'patient';
}
