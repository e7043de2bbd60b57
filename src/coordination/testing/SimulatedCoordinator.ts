import type * as commonTypes from '../../common/Types.js';
import * as sharedRateLimiter from '../../ratelimit/SharedRateLimiter.js';
import * as rateLimitExchange from '../RateLimitExchange.js';
import type * as simulatedLink from './SimulatedLink.js';
import * as tables from './Tables.js';

/** The rate limits of one control VM while it coordinates. */
export class SimulatedCoordinator {
  /** Links of the connected VMs. */
  readonly links = new Set<simulatedLink.SimulatedLink>();

  /** Its part of the feed. */
  readonly exchange: rateLimitExchange.RateLimitExchange;

  /** Whether a quorum confirms it. */
  isConfirmed = true;

  /** Starts without knowledge of any limit. */
  constructor(clock: commonTypes.IClock) {
    const table = tables.makeTable(clock);
    const limiter = new sharedRateLimiter.SharedRateLimiter(table, clock, () => this.isConfirmed);
    this.exchange = new rateLimitExchange.RateLimitExchange(table, limiter, (message) =>
      this.links.forEach((link) => link.receive(message)),
    );
  }
}
