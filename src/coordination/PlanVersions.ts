import type * as commonTypes from '../common/Types.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as streamVersions from './StreamVersions.js';
import type * as types from './Types.js';

/** Wait for entry VMs and the replicated log to tell a new coordinator which version began a stream. */
export const VERSION_WAIT_MS = 300;
/** Interval at which a plan checks whether the version of its stream is known. */
const CHECK_INTERVAL_MS = 20;

/** Decides which software version the engine of a plan must have, because a stream that has begun continues there. */
export class PlanVersions {
  /** Ids of plans that wait until the version of their stream is known. */
  private readonly waiting = new Set<string>();

  /** Takes the versions that services have from `directory`; `hasEngines` tells the services whose versions matter. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly directory: endpointDirectory.EndpointDirectory,
    private readonly hasEngines: (service: string) => boolean,
    /** Software versions that began the streams of requests. */
    readonly streams: streamVersions.StreamVersions,
    /** Whether `directory` has all endpoints that other VMs may use by now. */
    private readonly isListCurrent: () => boolean,
  ) {}

  /** Whether a request continues a stream whose version is not known. */
  mustWait(req: types.IPlanRequest): boolean {
    return req.continuedId !== undefined && this.versionFor(req) === undefined;
  }

  /** Version that the engine of a request must have; undefined if any may run it, or if it is not known. */
  versionFor({ version, continuedId, service }: types.IPlanRequest): string | undefined {
    if (version !== undefined || continuedId === undefined) {
      return version;
    }
    if (!this.isListCurrent()) {
      return this.streams.recordedVersionOf(continuedId);
    }
    this.recordListed();
    return this.streams.versionOf(continuedId, service);
  }

  /** Waits for news of a request's stream; resolves with false if the plan is cancelled meanwhile. */
  async waitForNews(req: types.IPlanRequest): Promise<boolean> {
    const endsAt = this.clock.monotonic() + VERSION_WAIT_MS;
    this.waiting.add(req.planId);
    while (
      this.clock.monotonic() < endsAt &&
      this.waiting.has(req.planId) &&
      this.versionFor(req) === undefined
    ) {
      await this.clock.sleep(CHECK_INTERVAL_MS);
    }
    return this.waiting.delete(req.planId);
  }

  /** Records the engine to which a request is sent. */
  recordPlaced({ requestId, service, isResumable }: types.IPlanRequest, version: string): void {
    this.streams.record({ requestId, version, service, isResumable });
  }

  /** Ends the wait of a plan; unknown ids are ignored. */
  cancel(planId: string): void {
    this.waiting.delete(planId);
  }

  /** Whether a ready endpoint of a service has the version; any will do for undefined. */
  hasEndpoint(service: string, version: string | undefined): boolean {
    return (
      version === undefined ||
      this.directory.ready(service).some((endpoint) => (endpoint.version ?? '') === version)
    );
  }

  /** Records the versions that services have now. */
  recordListed(): void {
    const versionsByService = new Map<string, Set<string>>();
    this.directory.current.endpoints
      .filter(({ service }) => this.hasEngines(service))
      .forEach(({ service, version = '' }) => {
        const versions = versionsByService.get(service) ?? new Set();
        versionsByService.set(service, versions.add(version));
      });
    versionsByService.forEach((versions, service) => this.streams.recordListed(service, versions));
  }
}
