import type * as commonServices from '../common/services/Services.js';
import type * as types from './Types.js';

/** What obeys a set of zones out of service. */
export interface IZoneGate {
  /** Takes over a set unless it is older than the known one; returns whether it was newer. */
  closeZones(closed: types.IClosedZones): boolean;
}

/** Passes sets of zones out of service on to a gate, and tells operators of each that is newer. */
export class ZoneFollower {
  /** Passes sets on to `gate`. */
  constructor(
    private readonly gate: IZoneGate,
    private readonly logService: commonServices.ILogService,
    private readonly metrics: commonServices.IMetricsService,
  ) {}

  /** Takes over a set, in any order and as often as it comes. */
  follow(closed: types.IClosedZones): void {
    if (this.gate.closeZones(closed)) {
      const { revision, zones } = closed;
      this.metrics.gauge('zones_closed', zones.length);
      this.logService.info('zones-out-of-service', { revision, zones: zones.join(',') });
    }
  }
}
