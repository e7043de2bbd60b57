import type * as commonTypes from '../Types.js';

/** What held bytes are for; a tag of the metrics. */
export type Purpose =
  /** Open connections, and heads that have not arrived completely. */
  | 'connection'
  /** Requests that were parsed behind too many others, and are not run. */
  | 'ahead'
  /** Requests: their fields and their bodies, until the response is sent. */
  | 'request'
  /** Responses of endpoints that are being read. */
  | 'answer'
  /** Responses that the caller has not read. */
  | 'unread'
  /** Bytes of tunnels that the other side has not read. */
  | 'relay';

/** Limits of a budget. */
export interface IBudgetLimits {
  /** Above it, holders that can be closed are, and only small leases grow. */
  readonly softBytes: number;
  /** Never exceeded by a lease that asks. */
  readonly hardBytes: number;
}

/** Bytes that one holder may hold. */
export interface IByteLease extends commonTypes.IDisposable {
  /** Bytes charged now. */
  readonly bytes: number;
  /** Changes the charged bytes; returns false, and changes nothing, if the budget does not allow a growth. */
  resize(bytes: number): boolean;
  /** Charges bytes that are held already, also above the limits. */
  charge(bytes: number): void;
  /** Says whether the lease's holder may be closed to free its bytes. */
  setReclaimable(isReclaimable: boolean): void;
}
