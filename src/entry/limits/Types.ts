/** Contracts of admission control and its queues. */
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';

/** One queued request that waits for a concurrency slot of a pool. */
export interface IWaiter {
  readonly workspace: string;
  readonly patience: configTypes.Patience;
  /** Latest start that can still meet the deadline, in monotonic milliseconds. */
  readonly latestStart: commonTypes.Millis;
  /** Expected work in slot-milliseconds. */
  readonly work: commonTypes.Millis;
  /** Whether the request was cancelled while queued. */
  readonly cancelled: boolean;
}

/** Queue that decides the order in which waiters are admitted. */
export interface IWaitingQueue<T extends IWaiter> {
  /** Number of waiters of one patience, without the cancelled ones. */
  size(patience: configTypes.Patience): number;
  /** Enqueues a waiter. */
  push(waiter: T): void;
  /** Removes and returns the next waiter; a patient one only when `patientAllowed`. */
  dequeue(patientAllowed: boolean): T | undefined;
  /** Backlog that a waiter like this one would find, and the fraction of the pool that serves it. */
  backlogAhead(waiter: IWaiter): IBacklog;
}

/** Backlog in front of a waiter. */
export interface IBacklog {
  /** Work of the same workspace and patience with an earlier latest start, in slot-milliseconds. */
  readonly work: commonTypes.Millis;
  /** Fraction of the pool's slots that such work gets at present, 0 to 1. */
  readonly capacityRatio: number;
}
