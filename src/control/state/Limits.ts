/**
 * Limits of the replicated state. All replicas must apply the same limits, so they are constants and not
 * settings: a different limit makes the state machine compute a different state.
 */
const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;
const KIB = 1024;
const MIB = 1024 * KIB;

/** All limits of the replicated state. */
export const LIMITS = {
  /** Newest configuration texts kept for diff and rollback. */
  configurationTexts: 50,
  /** Total length of these texts, in characters. The text in force is kept whatever its length. */
  configurationTextChars: 16 * MIB,
  /** Configuration versions in the history. */
  configurationVersions: 2000,
  /** Results of configuration submissions kept for resends. */
  submissions: 4096,
  /** Maximum length of a declaration, in characters. */
  declarationChars: 900 * KIB,
  /** Maximum length of an idempotency key or natural key, in characters. */
  keyChars: 512,
  /** Records in one group of the ledger. */
  ledgerRecords: 250_000,
  /** Expired opaque keys of one group that are remembered as too old. */
  ledgerTombstones: 4_000_000,
  /** Retention period of an ended record with its answer; older keys are rejected. */
  ledgerRetentionMs: DAY_MS,
  /** Maximum time by which the creation time in a key may be ahead of the leader's clock. */
  ledgerClockSkewMs: 10 * MINUTE_MS,
  /** Maximum size of a stored answer body. */
  maxAnswerBytes: 16 * KIB,
  /** Total size of the stored answer bodies of one group; above it the oldest answers keep only their digest. */
  totalAnswerBytes: 64 * MIB,
  /** Released tokens that are remembered, in case their `begin` arrives later. */
  releasedTokens: 100_000,
  /** Time for which a released token is remembered. */
  releasedTokenRetentionMs: 10 * MINUTE_MS,
  /** Minimum age of an unknown record before it may be resolved as not run: its owner may be suspended during the call. */
  resolveNotRunAfterMs: MINUTE_MS,
  /** Lease by which a live entry process owns its running records. */
  entryLeaseMs: 6 * SECOND_MS,
  /** Entry incarnations that hold a lease. */
  entries: 4096,
  /** Quarantined requests. */
  quarantined: 1000,
  /** Suspect requests. */
  suspects: 1000,
  /** Time for which a request stays suspect after a crash. */
  suspectRetentionMs: HOUR_MS,
  /** Fingerprints that count in one crash report. */
  fingerprintsPerCrash: 64,
  /** Crash report ids kept to recognise resends. */
  crashReports: 1000,
  /** Accounting rows; above it the oldest rows are removed. */
  accountingRows: 200_000,
  /** Accounting rows that count in one report. */
  accountingRowsPerReport: 2000,
  /** Age at which hourly accounting rows are merged into days. */
  hourlyAccountingRetentionMs: 8 * DAY_MS,
  /** Age at which accounting rows are removed. */
  accountingRetentionMs: 400 * DAY_MS,
  /** Entry incarnations whose last accounting sequence number is kept. */
  accountingSequences: 4096,
  /** Notes on accounting reports that were lost. */
  missingReports: 1000,
  /** Orders, open and ended. */
  orders: 10_000,
  /** Entries of the audit trail. */
  auditEntries: 10_000,
} as const;

/** Type of `LIMITS`. */
export type Limits = typeof LIMITS;
