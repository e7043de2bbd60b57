import type * as commonTypes from '../common/Types.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import * as streamVersions from './StreamVersions.js';
import type * as types from './Types.js';

/** Wait for entry VMs to tell a new coordinator which version began a stream. */
export const VERSION_WAIT_MS = 300;

/** Decides which software version the engine of a plan must have, because a stream that has begun continues there. */
export class PlanVersions {
  /** Software versions that began the streams of requests. */
  readonly streams: streamVersions.StreamVersions;

  /** Ids of plans that wait until the version of their stream is known. */
  private readonly waiting = new Set<string>();

  /** Takes the versions that services have from `directory`. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly directory: endpointDirectory.EndpointDirectory,
  ) {
    this.streams = new streamVersions.StreamVersions(clock);
  }

  /** Whether a request continues a stream whose version is not known. */
  mustWait(req: types.IPlanRequest): boolean {
    return req.continuedId !== undefined && this.versionFor(req) === undefined;
  }

  /** Version that the engine of a request must have; undefined if any may run it, or if it is not known. */
  versionFor({ version, continuedId, service }: types.IPlanRequest): string | undefined {
    if (version !== undefined || continuedId === undefined) {
      return version;
    }
    this.recordListed();
    return this.streams.versionOf(continuedId, service);
  }

  /** Waits for news of a stream; resolves with false if the plan is cancelled meanwhile. */
  async waitForNews(planId: string): Promise<boolean> {
    this.waiting.add(planId);
    await this.clock.sleep(VERSION_WAIT_MS);
    return this.waiting.delete(planId);
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
    this.directory.current.endpoints.forEach(({ service, version = '' }) =>
      this.streams.recordListed(service, version),
    );
  }
}
