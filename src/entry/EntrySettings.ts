/** Schema and reader of the settings file of the entry process. */
import * as zod from 'zod';
import * as findingsError from '../common/FindingsError.js';
import * as logService from '../common/services/LogService.js';
import * as settings from '../common/settings/Settings.js';
import type * as commonTypes from '../common/Types.js';
import * as tls from '../common/wire/Tls.js';
import * as httpTypes from './http/Types.js';

const ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/;
const address = zod.string().regex(ADDRESS, 'is not an address of the form ip:port');
const positiveMillis = zod.int().min(1);
const defaults = httpTypes.DEFAULT_CALLER_OPTIONS;

const callers = zod.strictObject({
  maxBodyBytes: zod.int().min(1).default(defaults.maxBodyBytes),
  maxHeaderBytes: zod.int().min(1024).default(defaults.maxHeaderBytes),
  headersTimeout: positiveMillis.default(defaults.headersTimeout),
  requestTimeout: positiveMillis.default(defaults.requestTimeout),
  keepAliveTimeout: positiveMillis.default(defaults.keepAliveTimeout),
});

/** Schema of the settings file; times are in milliseconds and sizes in bytes. */
export const entrySchema = zod.strictObject({
  /** Name of this VM, unique among the entry VMs. */
  name: zod.string().min(1),
  /** Availability zone of this VM, by its name in the declaration. */
  zone: zod.string().min(1),
  /** `ip:port` on which callers connect. */
  listen: address,
  /** `ip:port` of each control process. */
  control: zod.array(address).min(1),
  /** `ip:port` on which other entry VMs connect; no peer port when absent. */
  peerListen: address.optional(),
  /** `ip:port` of each other entry VM. */
  peers: zod.array(address).default([]),
  /** `ip:port` of the platform's list of VMs; every declared endpoint counts as live when absent. */
  platformList: address.optional(),
  /** Folder that stores the last configuration in force; in memory only when absent. */
  stateDir: zod.string().min(1).optional(),
  /** Seed of the random numbers; from the system's generator when absent. */
  seed: zod.int().optional(),
  /** Maximum time that a shutdown waits for requests in flight, milliseconds. */
  drainTimeoutMs: positiveMillis.default(600_000),
  tls: tls.tlsSchema.optional(),
  callers: callers.prefault({}),
  log: zod.strictObject({ level: zod.enum(logService.LOG_LEVELS).default('info') }).prefault({}),
  metrics: zod
    .strictObject({
      host: zod.string().min(1).optional(),
      port: zod.int().min(1).max(65535).optional(),
    })
    .prefault({}),
});

/** Settings after validation, with defaults applied. */
export type EntrySettings = Readonly<zod.infer<typeof entrySchema>>;

/**
 * Reads and checks the settings of an entry process.
 *
 * @throws FindingsError that lists every invalid setting.
 * @example
 * const cfg = readEntrySettings('/etc/anvildeck/entry.toml');
 */
export function readEntrySettings(file: string): EntrySettings {
  const cfg = settings.readSettings(file, entrySchema);
  const findings = findMissingTls(file, cfg);
  if (findings.length > 0) {
    throw new findingsError.FindingsError(findings);
  }
  return cfg;
}

/**
 * Finds addresses that need TLS: those between processes of this system. Callers connect through the
 * load balancer of the platform, so the caller port is exempt.
 */
function findMissingTls(file: string, cfg: EntrySettings): readonly commonTypes.IFinding[] {
  const listeners = cfg.peerListen === undefined ? [] : [['peer_listen', cfg.peerListen] as const];
  const peers = cfg.peers.map((item, at) => [`peers[${at}]`, item] as const);
  const control = cfg.control.map((item, at) => [`control[${at}]`, item] as const);
  return tls.findPlaintext(file, [...listeners, ...peers, ...control], cfg.tls);
}
