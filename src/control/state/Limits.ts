/**
 * Bounds of the replicated state. Every replica must hold the same ones, so they are part of the program
 * and no setting: a change of them is a change of the state's meaning.
 */
const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;
const KIB = 1024;
const MIB = 1024 * KIB;

/** The one table of bounds. */
export const LIMITS = {
  /** Texts of configurations kept for diff and rollback. */
  configurationTexts: 50,
  /** Sum of those texts, in characters; the one in force is kept whatever its length. */
  configurationTextChars: 16 * MIB,
  /** Entries of the history. */
  configurationVersions: 2000,
  /** Answers to submissions kept for resends. */
  submissions: 4096,
  /** Longest declaration, in characters. */
  declarationChars: 900 * KIB,
  /** Longest idempotency key or natural key, in characters. */
  keyChars: 512,
  /** Records in one group of the ledger. */
  ledgerRecords: 250_000,
  /** Opaque keys of one group that are remembered as too old. */
  ledgerTombstones: 4_000_000,
  /** Time for which an ended record keeps its answer; older keys are refused. */
  ledgerRetentionMs: DAY_MS,
  /** How far a key's own time may run ahead of the leader's clock. */
  ledgerClockSkewMs: 10 * MINUTE_MS,
  /** Longest stored answer. */
  maxAnswerBytes: 16 * KIB,
  /** Stored answers of one group together; beyond it the oldest keep their digest only. */
  totalAnswerBytes: 64 * MIB,
  /** Tokens given back before their begin was seen. */
  releasedTokens: 100_000,
  releasedTokenRetentionMs: 10 * MINUTE_MS,
  /** Before an unknown record may be declared not run: its owner may still be stopped in mid-call. */
  resolveNotRunAfterMs: MINUTE_MS,
  /** Ownership of running records by a live entry. */
  entryLeaseMs: 6 * SECOND_MS,
  /** Entry incarnations with a lease. */
  entries: 4096,
  quarantined: 1000,
  suspects: 1000,
  /** Time for which one crash makes a request a suspect. */
  suspectRetentionMs: HOUR_MS,
  /** Fingerprints of one crash report. */
  fingerprintsPerCrash: 64,
  /** Ids of crash reports kept for resends. */
  crashReports: 1000,
  /** Rows of accounting; beyond it the oldest days go. */
  accountingRows: 200_000,
  /** Rows in one report. */
  accountingRowsPerReport: 2000,
  /** Hours are merged into days after this time. */
  hourlyAccountingRetentionMs: 8 * DAY_MS,
  accountingRetentionMs: 400 * DAY_MS,
  accountingSequences: 4096,
  missingReports: 1000,
  orders: 10_000,
  auditEntries: 10_000,
} as const;

/** Type of the table. */
export type Limits = typeof LIMITS;
