import * as emitter from '../common/Emitter.js';
import type * as commonTypes from '../common/Types.js';
import * as types from './Types.js';

/**
 * State machine of the zones out of service. The last order for a zone in the replicated log is in force. An order that
 * changes nothing, such as a repeated one, leaves the revision as it is.
 */
export class ZoneState implements commonTypes.IDisposable {
  private closed = types.NO_CLOSED_ZONES;

  private readonly changeEmitter = new emitter.Emitter<types.IClosedZones>();

  /** Fires with the new set after each change. */
  readonly onChange = this.changeEmitter.event;

  /** The zones out of service now. */
  get current(): types.IClosedZones {
    return this.closed;
  }

  /** Applies a committed order. */
  apply({ zone, isClosed }: types.IZoneOrder): void {
    const { revision, zones } = this.closed;
    if (zones.includes(zone) === isClosed) {
      return;
    }
    const others = zones.filter((other) => other !== zone);
    const next = isClosed ? [...others, zone].sort() : others;
    this.replace({ revision: revision + 1, zones: next });
  }

  /** Replaces the state by that of a snapshot. */
  restore(snapshot: types.IClosedZones): void {
    if (snapshot.revision !== this.closed.revision) {
      this.replace(snapshot);
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.changeEmitter.dispose();
  }

  private replace(closed: types.IClosedZones): void {
    this.closed = closed;
    this.changeEmitter.fire(closed);
  }
}
