import type * as commonTypes from '../Types.js';
import type * as types from './Types.js';

/** What a lease asks of its budget. */
export interface ILeaseOwner {
  /** Grows a lease if the limits allow it; a shrink is always allowed. */
  tryResize(lease: ByteLease, bytes: number): boolean;
  /** Charges a lease without a check. */
  set(lease: ByteLease, bytes: number): void;
  /** Returns the bytes of a lease; further calls have no effect. */
  release(lease: ByteLease): void;
}

/** One holder's part of a budget, which keeps the figures. */
export class ByteLease implements types.IByteLease {
  /** @inheritdoc */
  bytes = 0;

  /** Whether the lease has ended, by its holder or by the budget. */
  isOver = false;

  private canReclaim: boolean;

  /** Lasts since `since`; `reclaim` frees its bytes. */
  constructor(
    private readonly owner: ILeaseOwner,
    readonly purpose: types.Purpose,
    readonly since: commonTypes.Millis,
    readonly reclaim: (() => void) | undefined,
  ) {
    this.canReclaim = reclaim !== undefined;
  }

  /** Whether the budget may take the bytes back. */
  get isReclaimable(): boolean {
    return this.canReclaim;
  }

  /** @inheritdoc */
  resize(bytes: number): boolean {
    return !this.isOver && this.owner.tryResize(this, bytes);
  }

  /** @inheritdoc */
  charge(bytes: number): void {
    if (!this.isOver) {
      this.owner.set(this, bytes);
    }
  }

  /** @inheritdoc */
  setReclaimable(isReclaimable: boolean): void {
    this.canReclaim = isReclaimable && this.reclaim !== undefined;
  }

  /** @inheritdoc */
  dispose(): void {
    this.owner.release(this);
  }
}
