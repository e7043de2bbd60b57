import type * as types from './Types.js';

/** Room of a planner that has no shared count of requests; a rate limiter bounds its calls instead. */
export class UnboundedRoom implements types.IRoomCheck {
  /** @inheritdoc */
  isBounded(): boolean {
    return false;
  }

  /** @inheritdoc */
  hasRoom(): boolean {
    return true;
  }
}
