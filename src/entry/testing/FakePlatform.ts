import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as membershipTypes from '../../membership/Types.js';

/** The platform's list, with its lag and its faults. */
export class FakePlatform implements membershipTypes.IPlatformListClient {
  /** Shows no VM at all. */
  empty = false;

  /** Does not answer. */
  unreachable = false;

  private readonly leaving = new Set<string>();

  private generation = 1;

  /** Lists these endpoints as live. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly endpoints: readonly configTypes.IEndpoint[],
  ) {}

  /** An endpoint begins to leave; the list shows it after `lag`. */
  markLeaving(endpoint: string, lag: commonTypes.Millis): void {
    this.clock.setTimer(lag, () => {
      this.leaving.add(endpoint);
      this.generation += 1;
    });
  }

  /** @inheritdoc */
  read(): Promise<membershipTypes.IPlatformList> {
    if (this.unreachable) {
      return Promise.reject(new Error('away'));
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
