import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as types from './Types.js';
import * as fairQueue from './FairQueue.js';

/** Part of the memory of who was served that each turn keeps: about the last hundred count. */
const FADE = 0.99;

/** Says whether patient waiters with this work and this earliest latest start cannot wait any longer. */
export type IsUrgent = (backlog: commonTypes.Millis, earliest: commonTypes.Millis) => boolean;

/**
 * Order of waiters: patient and interactive work share the pool by the patient floor when both wait, and
 * each of the two is a FairQueue. Work-conserving: a class without waiters leaves its part to the other.
 * Patient waiters that would come too late at the floor go first while that is so.
 */
export class WaitingQueue<T extends types.IWaiter> implements types.IWaitingQueue<T> {
  private readonly interactive: fairQueue.FairQueue<T>;

  private readonly patient: fairQueue.FairQueue<T>;

  /** Interactive work served so far over its part. */
  private interactiveServed = 0;

  /** Patient and interactive work served lately while both waited, fading with each turn. */
  private recentPatient = 0;

  private recentInteractive = 0;

  /** Patient work served so far over its part. */
  private patientServed = 0;

  /** Takes the weight of a workspace and the part of the pool that patient work gets when both wait. */
  constructor(
    shareOf: (workspace: string) => number,
    private readonly patientFloor: number,
    private readonly patientMaxShare = 1,
    private readonly isUrgent: IsUrgent = () => false,
  ) {
    this.interactive = new fairQueue.FairQueue(shareOf);
    this.patient = new fairQueue.FairQueue(shareOf);
  }

  /** @inheritdoc */
  size(patience: configTypes.Patience): number {
    return this.classOf(patience).size;
  }

  /** @inheritdoc */
  push(waiter: T): void {
    if (this.classOf(waiter.patience).size === 0) {
      this.catchUp(waiter.patience);
    }
    this.classOf(waiter.patience).push(waiter);
  }

  /** A waiter that was pushed has left: its `gone` is true now. */
  onCancelled(waiter: T): void {
    this.classOf(waiter.patience).onCancelled(waiter);
  }

  /** @inheritdoc */
  dequeue(patientAllowed: boolean): T | undefined {
    if (this.interactive.size === 0 || this.patient.size === 0) {
      return this.choose(patientAllowed);
    }
    const waiter = this.choose(patientAllowed);
    this.remember(waiter);
    return waiter;
  }

  private choose(patientAllowed: boolean): T | undefined {
    if (!patientAllowed || this.patient.size === 0) {
      return this.takeInteractive();
    }
    if (this.interactive.size === 0 || this.patientServed <= this.interactiveServed) {
      return this.takePatient();
    }
    if (this.patientIsUrgent()) {
      // Not charged: urgent work is beyond the floor and must not be paid for by later patient work.
      return this.patient.dequeue();
    }
    return this.takeInteractive();
  }

  /** Waiters whose latest start is past, taken out. */
  takeExpired(now: commonTypes.Millis): readonly T[] {
    return [...this.interactive.takeExpired(now), ...this.patient.takeExpired(now)];
  }

  /** The earliest latest start of all waiters; Infinity when nobody waits. */
  earliestLatestStart(): commonTypes.Millis {
    return Math.min(this.interactive.earliestLatestStart(), this.patient.earliestLatestStart());
  }

  /** @inheritdoc */
  backlogAhead(waiter: types.IWaiter): types.IBacklog {
    const { work, capacityRatio: part } = this.classOf(waiter.patience).backlogAhead(waiter);
    const contended = this.classOf(other(waiter.patience)).size > 0;
    return { work, capacityRatio: contended ? part * this.partOf(waiter.patience) : part };
  }

  /** Work of a workspace was served elsewhere: it counts as served here too, up to `most` at once. */
  chargeRemoteWork(
    workspace: string,
    patience: configTypes.Patience,
    work: commonTypes.Millis,
    most: commonTypes.Millis,
  ): void {
    this.classOf(patience).charge(workspace, work, most);
  }

  private patientIsUrgent(): boolean {
    const { patient } = this;
    return patient.size > 0 && this.isUrgent(patient.backlog, patient.earliestLatestStart());
  }

  /** Part of the pool that a class got lately while both waited, within its bounds. */
  private partOf(patience: configTypes.Patience): number {
    const served = this.recentPatient + this.recentInteractive;
    const measured = served === 0 ? 0 : this.recentPatient / served;
    const patientPart = Math.max(this.patientFloor, Math.min(this.patientMaxShare, measured));
    return patience === 'patient' ? patientPart : 1 - patientPart;
  }

  private remember(waiter: T | undefined): void {
    const patient = waiter?.patience === 'patient';
    const work = waiter?.work ?? 0;
    this.recentPatient = this.recentPatient * FADE + (patient ? work : 0);
    this.recentInteractive = this.recentInteractive * FADE + (patient ? 0 : work);
  }

  private takePatient(): T | undefined {
    const waiter = this.patient.dequeue();
    this.patientServed += (waiter?.work ?? 0) / this.patientFloor;
    return waiter;
  }

  private takeInteractive(): T | undefined {
    const waiter = this.interactive.dequeue();
    this.interactiveServed += (waiter?.work ?? 0) / this.floorOf('interactive');
    return waiter;
  }

  /** A class that had nobody waiting does not collect rights for that time. */
  private catchUp(patience: configTypes.Patience): void {
    if (patience === 'patient') {
      this.patientServed = Math.max(this.patientServed, this.interactiveServed);
    } else {
      this.interactiveServed = Math.max(this.interactiveServed, this.patientServed);
    }
  }

  private classOf(patience: configTypes.Patience): fairQueue.FairQueue<T> {
    return patience === 'patient' ? this.patient : this.interactive;
  }

  private floorOf(patience: configTypes.Patience): number {
    return patience === 'patient' ? this.patientFloor : 1 - this.patientFloor;
  }
}

function other(patience: configTypes.Patience): configTypes.Patience {
  return patience === 'patient' ? 'interactive' : 'patient';
}
