import * as emitter from '../common/Emitter.js';
import type * as types from './Types.js';

/** Holds the latest endpoint list and indexes it by service. */
export class EndpointDirectory {
  private byService = new Map<string, readonly types.IEndpoint[]>();

  private addresses: ReadonlySet<string> = new Set();

  private list: types.IEndpointList = { revision: 0, endpoints: [] };

  private readonly changeEmitter = new emitter.Emitter<types.IEndpointList>();

  /** Fires after the list was replaced, with the new list. */
  readonly onChange = this.changeEmitter.event;

  /** The latest list; revision 0 and empty before the first one. */
  get current(): types.IEndpointList {
    return this.list;
  }

  /** Endpoints of a service that accept new requests, that is, are not draining; empty for an unknown service. */
  ready(service: string): readonly types.IEndpoint[] {
    return this.byService.get(service) ?? [];
  }

  /** Whether the list has an endpoint at an address (`ip:port`), draining or not. */
  hasAddress(address: string): boolean {
    return this.addresses.has(address);
  }

  /** Replaces the whole list, rebuilds the index and notifies listeners. */
  replace(list: types.IEndpointList): void {
    this.list = list;
    const index = new Map<string, types.IEndpoint[]>();
    list.endpoints
      .filter((endpoint) => !endpoint.draining)
      .forEach((endpoint) => {
        const endpoints = index.get(endpoint.service) ?? [];
        endpoints.push(endpoint);
        index.set(endpoint.service, endpoints);
      });
    this.byService = index;
    this.addresses = new Set(list.endpoints.map(({ address }) => address));
    this.changeEmitter.fire(list);
  }
}
