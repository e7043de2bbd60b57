import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as membershipTypes from '../../membership/Types.js';

/** The platform's list of VMs, with propagation lag and faults. */
export class FakePlatform implements membershipTypes.IPlatformListClient {
  /** Whether the list is returned without any VM. */
  empty = false;

  /** Whether reads of the list fail. */
  unreachable = false;

  private readonly leaving = new Set<string>();

  private generation = 1;

  /** Lists `endpoints` as live. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly endpoints: readonly configTypes.IEndpoint[],
  ) {}

  /** Marks an endpoint as leaving; the list shows this after `lag` milliseconds. */
  markLeaving(endpoint: string, lag: commonTypes.Millis): void {
    this.clock.setTimer(lag, () => {
      this.leaving.add(endpoint);
      this.generation += 1;
    });
  }

  /** @inheritdoc */
  read(): Promise<membershipTypes.IPlatformList> {
    if (this.unreachable) {
      return Promise.reject(new Error('platform list unreachable'));
    }
    const vms = this.endpoints.map(({ name, address }) => ({
      name,
      address,
      state: this.leaving.has(name) ? ('leaving' as const) : ('live' as const),
    }));
    return Promise.resolve({
      generation: this.empty ? this.generation + 1 : this.generation,
      vms: this.empty ? [] : vms,
    });
  }
}
