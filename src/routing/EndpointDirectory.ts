import * as emitter from '../common/Emitter.js';
import * as zoneTypes from '../zones/Types.js';
import type * as types from './Types.js';

/** Maximum number of endpoints that are remembered as leaving when the list no longer has them; the oldest yield. */
const MAX_LEFT = 1000;

/**
 * Holds the latest endpoint list and indexes it by service. Knows the availability zones out of service, whose endpoints
 * get no new request.
 */
export class EndpointDirectory {
  private byService = new Map<string, readonly types.IEndpoint[]>();

  /** Availability zone of each address in the list. */
  private zoneByAddress: ReadonlyMap<string, string> = new Map();

  /** Ids of endpoints that are draining, or were when they left the list. */
  private leaving: ReadonlySet<string> = new Set();

  private list: types.IEndpointList = { revision: 0, endpoints: [] };

  private closed = zoneTypes.NO_CLOSED_ZONES;

  private readonly changeEmitter = new emitter.Emitter<types.IEndpointList>();

  /** Fires after the list was replaced or zones were closed or opened, with the list in force. */
  readonly onChange = this.changeEmitter.event;

  /** The latest list; revision 0 and empty before the first one. */
  get current(): types.IEndpointList {
    return this.list;
  }

  /** Newest set of zones out of service that is known here. */
  get closedZones(): zoneTypes.IClosedZones {
    return this.closed;
  }

  /**
   * Endpoints of a service that accept new requests, that is, are not draining and in no closed zone; empty for an
   * unknown service.
   */
  ready(service: string): readonly types.IEndpoint[] {
    return this.byService.get(service) ?? [];
  }

  /** Whether an endpoint may get a new request as far as its zone decides; asked directly before a send. */
  isOpen({ availabilityZone }: Pick<types.IEndpoint, 'availabilityZone'>): boolean {
    return !this.closed.zones.includes(availabilityZone);
  }

  /** Whether an address may get a new connection as far as its zone decides; true for an address not in the list. */
  isOpenAddress(address: string): boolean {
    const availabilityZone = this.zoneByAddress.get(address);
    return availabilityZone === undefined || this.isOpen({ availabilityZone });
  }

  /** Whether an endpoint is draining, or has left the list since it was; it gets no new request. */
  isLeaving(id: string): boolean {
    return this.leaving.has(id);
  }

  /** Whether a service has endpoints that would accept requests, all of them in closed zones. */
  isOutOfService(service: string): boolean {
    return (
      this.ready(service).length === 0 &&
      this.list.endpoints.some((endpoint) => endpoint.service === service && !endpoint.draining)
    );
  }

  /** Whether the list has an endpoint at an address (`ip:port`), draining or not. */
  hasAddress(address: string): boolean {
    return this.zoneByAddress.has(address);
  }

  /** Replaces the whole list, rebuilds the index and notifies listeners. */
  replace(list: types.IEndpointList): void {
    this.list = list;
    const listed = new Set(list.endpoints.map(({ id }) => id));
    const left = [...this.leaving].filter((id) => !listed.has(id)).slice(-MAX_LEFT);
    const draining = list.endpoints.filter((endpoint) => endpoint.draining);
    this.leaving = new Set([...left, ...draining.map(({ id }) => id)]);
    this.zoneByAddress = new Map(
      list.endpoints.map(({ address, availabilityZone }) => [address, availabilityZone]),
    );
    this.rebuild();
  }

  /** Takes over a set of zones out of service, unless it is older than the known one; returns whether it was newer. */
  closeZones(closed: zoneTypes.IClosedZones): boolean {
    const isNewer = closed.revision > this.closed.revision;
    if (isNewer) {
      this.closed = closed;
      this.rebuild();
    }
    return isNewer;
  }

  private rebuild(): void {
    const index = new Map<string, types.IEndpoint[]>();
    this.list.endpoints
      .filter((endpoint) => !endpoint.draining && this.isOpen(endpoint))
      .forEach((endpoint) => {
        const endpoints = index.get(endpoint.service) ?? [];
        endpoints.push(endpoint);
        index.set(endpoint.service, endpoints);
      });
    this.byService = index;
    this.changeEmitter.fire(this.list);
  }
}
