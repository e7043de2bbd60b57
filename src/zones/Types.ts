/** Contracts of availability zones that operators take out of service. */

/** The availability zones out of service, as the replicated state holds them. */
export interface IClosedZones {
  /** Number of changes so far; of two sets the one with the higher revision is newer. 0 before the first change. */
  readonly revision: number;
  /** Names of the zones, sorted. */
  readonly zones: readonly string[];
}

/** An operator's order: `isClosed` takes the zone out of service, otherwise the zone returns to service. */
export interface IZoneOrder {
  readonly zone: string;
  readonly isClosed: boolean;
}

/** The set before the first order. */
export const NO_CLOSED_ZONES: IClosedZones = { revision: 0, zones: [] };
