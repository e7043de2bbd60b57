/** Contracts of admission and queues. */
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';

/** One request that waits for a place in a pool. */
export interface IWaiter {
  readonly workspace: string;
  readonly patience: configTypes.Patience;
  /** Moment after which starting it is hopeless, monotonic milliseconds. */
  readonly latestStart: commonTypes.Millis;
  /** Work that it is expected to be, in milliseconds of one place. */
  readonly work: commonTypes.Millis;
  /** Whether it left the queue before its turn. */
  readonly cancelled: boolean;
}

/** Order in which waiters get their turn. */
export interface IWaitingQueue<T extends IWaiter> {
  /** Waiters of one patience that have not left. */
  size(patience: configTypes.Patience): number;
  /** Adds a waiter. */
  push(waiter: T): void;
  /** The next waiter, taken out; patient ones only when `patientAllowed`. */
  dequeue(patientAllowed: boolean): T | undefined;
  /** Work in milliseconds that would run before a waiter like this one, and the part of the pool that it gets. */
  backlogAhead(waiter: IWaiter): IBacklog;
}

/** What stands before a waiter. */
export interface IBacklog {
  /** Work of the same workspace and patience that is due earlier, milliseconds of one place. */
  readonly work: commonTypes.Millis;
  /** Part of the pool's places that such work gets now, 0 to 1. */
  readonly capacityRatio: number;
}
