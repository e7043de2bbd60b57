/** Contracts of endpoint routing. */

/** The router's view of endpoint membership. */
export interface IMembershipView {
  /** Whether the endpoint may get new work, that is, it is neither leaving nor down. */
  accepts(endpoint: string): boolean;
  /** Reports an observation of this VM: the endpoint answered, or a connection to it failed. */
  observe(endpoint: string, alive: boolean): void;
}
