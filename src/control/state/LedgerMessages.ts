/** Ledger messages that other components compare. */

/** Refuses `begin` of an entry process without a lease, which may retry after its next renewal. */
export const NO_LEASE = 'the entry holds no lease';
