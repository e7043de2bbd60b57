import * as emitter from '../common/Emitter.js';
import type * as types from './Types.js';

/** The endpoints in use, as last read. */
export class EndpointDirectory {
  private byService = new Map<string, readonly types.IEndpoint[]>();

  private list: types.IEndpointList = { revision: 0, endpoints: [] };

  private readonly changed = new emitter.Emitter<types.IEndpointList>();

  /** Fires after each new list. */
  readonly onChange = this.changed.event;

  /** The last list. */
  get current(): types.IEndpointList {
    return this.list;
  }

  /** Endpoints of a service that take new work. */
  ready(service: string): readonly types.IEndpoint[] {
    return this.byService.get(service) ?? [];
  }

  /** Replaces the list. */
  replace(list: types.IEndpointList): void {
    this.list = list;
    const next = new Map<string, types.IEndpoint[]>();
    list.endpoints
      .filter((endpoint) => !endpoint.draining)
      .forEach((endpoint) => {
        const known = next.get(endpoint.service) ?? [];
        known.push(endpoint);
        next.set(endpoint.service, known);
      });
    this.byService = next;
    this.changed.fire(list);
  }
}
