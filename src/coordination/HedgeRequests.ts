import type * as routing from '../routing/Types.js';

type ResolveFn = (endpoint: routing.IEndpoint | undefined) => void;

/** Requests of an entry VM for second engines that the coordinator has not answered yet. */
export class HedgeRequests {
  private readonly pending = new Map<string, ResolveFn>();

  /** Adds the request of a plan; resolves with its answer, or without an endpoint once it is dropped. */
  add(planId: string): Promise<routing.IEndpoint | undefined> {
    this.resolve(planId, undefined);
    return new Promise((resolve) => {
      this.pending.set(planId, resolve);
    });
  }

  /** Resolves the request of a plan, if there is one. */
  resolve(planId: string, endpoint: routing.IEndpoint | undefined): void {
    this.pending.get(planId)?.(endpoint);
    this.pending.delete(planId);
  }

  /** Drops all requests, because their coordinator is lost. */
  dropAll(): void {
    [...this.pending.keys()].forEach((planId) => this.resolve(planId, undefined));
  }
}
