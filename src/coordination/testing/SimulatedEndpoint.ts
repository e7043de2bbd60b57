import type * as commonTypes from '../../common/Types.js';
import * as rateLimitAudit from '../../ratelimit/testing/RateLimitAudit.js';
import type * as simulatedVm from './SimulatedVm.js';

/** Id of the endpoint. */
export const ENDPOINT_ID = 'e';
/** Time from a request's arrival at the endpoint to its response, at most, for most responses. */
const MAX_SERVICE_TIME_MS = 150;
/** Time of the few slow responses, and the share of these. */
const MAX_SLOW_SERVICE_TIME_MS = 3000;
const SLOW_RATIO = 0.03;

/** An endpoint that names a rate limit, and counts its requests. */
export class SimulatedEndpoint {
  /** Its requests. */
  readonly audit: rateLimitAudit.RateLimitAudit;

  /** Names no limit at first. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
  ) {
    this.audit = new rateLimitAudit.RateLimitAudit(() => clock.monotonic());
  }

  /** Handles a request of a VM, which gets a response with the limit. */
  handle(vm: simulatedVm.SimulatedVm, sentAt: commonTypes.Millis): void {
    const { clock, random, audit } = this;
    audit.recordArrival(ENDPOINT_ID, vm.name, vm.isInTouch);
    const limit = audit.limitOf(ENDPOINT_ID) ?? 'none';
    const isSlow = random.next() < SLOW_RATIO;
    const serviceTime = random.next() * (isSlow ? MAX_SLOW_SERVICE_TIME_MS : MAX_SERVICE_TIME_MS);
    const { table } = vm;
    clock.setTimer(serviceTime, () => {
      if (limit !== 'none') {
        audit.recordAnswer(ENDPOINT_ID, vm.name);
      }
      table.recordStatement({ endpointId: ENDPOINT_ID, limit, origin: 'answer', sentAt });
    });
  }
}
