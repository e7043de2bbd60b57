import type * as types from '../Types.js';

/** Rate limiter and permit service for endpoints that name no limits. */
export class UnlimitedRateLimiter implements types.IEndpointRateLimiter, types.IPermitService {
  /** @inheritdoc */
  rateOf(): undefined {
    return undefined;
  }

  /** @inheritdoc */
  isLimited(): boolean {
    return false;
  }

  /** @inheritdoc */
  delayOf(): number {
    return 0;
  }

  /** @inheritdoc */
  take(): boolean {
    return true;
  }

  /** @inheritdoc */
  acquire(): boolean {
    return true;
  }
}
