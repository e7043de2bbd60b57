import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import type * as commonTypes from '../../common/Types.js';
import type * as coldEndpoints from '../../ratelimit/ColdEndpoints.js';
import * as endpointPermits from '../../ratelimit/EndpointPermits.js';
import * as endpointRates from '../../ratelimit/EndpointRates.js';
import * as localRateLimiter from '../../ratelimit/LocalRateLimiter.js';
import type * as rateLimitTable from '../../ratelimit/RateLimitTable.js';
import * as simulatedEndpoint from './SimulatedEndpoint.js';
import * as simulatedLink from './SimulatedLink.js';
import * as tables from './Tables.js';

/** Time on a connection after which a VM counts as in touch with the others. */
const IN_TOUCH_AFTER_MS = 3000;

/** The rate limits of one entry VM. */
export class SimulatedVm {
  /** Connection to the coordinator. */
  readonly link: simulatedLink.SimulatedLink;

  /** What it knows of limits. */
  table: rateLimitTable.RateLimitTable;

  /** What it knows of cold endpoints. */
  cold: coldEndpoints.ColdEndpoints;

  private permits: endpointPermits.EndpointPermits;

  /** Not connected to a coordinator yet. */
  constructor(
    readonly name: string,
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
    private readonly vmCount: number,
  ) {
    this.link = new simulatedLink.SimulatedLink(clock, random);
    this.table = tables.makeTable(clock);
    this.cold = tables.makeCold(clock, simulatedEndpoint.ENDPOINT_ID);
    this.permits = this.makePermits();
  }

  /** Whether it has been connected to a coordinator for some time. */
  get isInTouch(): boolean {
    return this.link.connectedFor > IN_TOUCH_AFTER_MS;
  }

  /** Sends a request to the endpoint if the VM has or gets a permit. */
  async request(endpoint: simulatedEndpoint.SimulatedEndpoint): Promise<void> {
    const { permits } = this;
    if (
      permits.delayOf(simulatedEndpoint.ENDPOINT_ID) === 0 &&
      (await permits.acquire(simulatedEndpoint.ENDPOINT_ID))
    ) {
      endpoint.handle(this, this.clock.monotonic());
    }
  }

  /** Forgets everything, as a restarted process has. */
  restart(): void {
    this.link.disconnect();
    this.table = tables.makeTable(this.clock);
    this.cold = tables.makeCold(this.clock, simulatedEndpoint.ENDPOINT_ID);
    this.permits = this.makePermits();
  }

  private makePermits(): endpointPermits.EndpointPermits {
    const { table, cold, link, clock, random, vmCount } = this;
    const rates = new endpointRates.EndpointRates([table, cold]);
    return new endpointPermits.EndpointPermits({
      table,
      cold,
      local: new localRateLimiter.LocalRateLimiter(rates, clock, random, () => vmCount),
      link,
      clock,
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
  }
}
