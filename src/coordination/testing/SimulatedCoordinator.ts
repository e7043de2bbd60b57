import type * as commonTypes from '../../common/Types.js';
import type * as coldEndpoints from '../../ratelimit/ColdEndpoints.js';
import * as endpointRates from '../../ratelimit/EndpointRates.js';
import * as sharedRateLimiter from '../../ratelimit/SharedRateLimiter.js';
import * as rateLimitExchange from '../RateLimitExchange.js';
import * as simulatedEndpoint from './SimulatedEndpoint.js';
import type * as simulatedLink from './SimulatedLink.js';
import * as tables from './Tables.js';

/** The rate limits of one control VM while it coordinates. */
export class SimulatedCoordinator {
  /** Links of the connected VMs. */
  readonly links = new Set<simulatedLink.SimulatedLink>();

  /** Its part of the feed. */
  readonly exchange: rateLimitExchange.RateLimitExchange;

  /** What it knows of cold endpoints. */
  readonly cold: coldEndpoints.ColdEndpoints;

  /** Whether a quorum confirms it. */
  isConfirmed = true;

  /** Starts without knowledge of any limit. */
  constructor(clock: commonTypes.IClock) {
    const table = tables.makeTable(clock);
    this.cold = tables.makeCold(clock, simulatedEndpoint.ENDPOINT_ID);
    const limiter = new sharedRateLimiter.SharedRateLimiter(
      new endpointRates.EndpointRates([table, this.cold]),
      clock,
      () => this.isConfirmed,
    );
    this.exchange = new rateLimitExchange.RateLimitExchange(
      table,
      limiter,
      (message) => this.links.forEach((link) => link.receive(message)),
      'limits',
      { endpoints: this.cold, clock },
    );
  }
}
