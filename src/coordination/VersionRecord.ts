/** Kind of command in the replicated log by which control VMs remember versions across a restart of all VMs. */
const KIND = 'stream-versions';
/** First bytes of each command with a record; commands of the routing document begin otherwise. */
const PREFIX = Buffer.from('{"record":');

/** What a coordinator knows of software versions and did not find in the replicated log. */
export interface IVersionRecord {
  /** All versions that a service has had lately, by service; services without a change are absent. */
  readonly services: Readonly<Record<string, readonly string[]>>;
  /** Ids of requests that engines run, by the software version of the engine. */
  readonly streams: Readonly<Record<string, readonly string[]>>;
}

/** Whether a command of the replicated log is a record and no routing document. */
export function isRecord(command: Uint8Array): boolean {
  return Buffer.from(command.buffer, command.byteOffset, command.length)
    .subarray(0, PREFIX.length)
    .equals(PREFIX);
}

/**
 * Encodes a record as a command of the replicated log (JSON in UTF-8).
 *
 * @example
 * await log.propose(encode({ services: { llm: ['v1', 'v2'] }, streams: { v1: ['r-1'] } }));
 */
export function encode({ services, streams }: IVersionRecord): Uint8Array {
  return Buffer.from(JSON.stringify({ record: KIND, services, streams }));
}

/** Decodes a record; undefined for a kind of record that this build does not know. */
export function decode(command: Uint8Array): IVersionRecord | undefined {
  const { record, services, streams } = JSON.parse(Buffer.from(command).toString('utf8'));
  return record === KIND ? { services, streams } : undefined;
}

/**
 * Groups ids of requests by the version of their stream, in order. A version may have any name, also that of a property
 * which objects inherit.
 *
 * @example
 * groupByVersion([['v1', 'r-1'], ['v2', 'r-2'], ['v1', 'r-3']]); // { v1: ['r-1', 'r-3'], v2: ['r-2'] }
 */
export function groupByVersion(
  streams: readonly (readonly [version: string, id: string])[],
): IVersionRecord['streams'] {
  const groups = new Map<string, string[]>();
  streams.forEach(([version, id]) => {
    const ids = groups.get(version) ?? [];
    ids.push(id);
    groups.set(version, ids);
  });
  return Object.fromEntries(groups);
}
