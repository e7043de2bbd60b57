/** Settings of the control process: schema, reading and checks across fields. */
import * as zod from 'zod';
import * as findingsError from '../common/FindingsError.js';
import * as logService from '../common/services/LogService.js';
import * as settings from '../common/settings/Settings.js';
import type * as commonTypes from '../common/Types.js';
import * as tls from '../common/wire/Tls.js';
import * as orderTypes from './orders/Types.js';

const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/;
const HEX_PATTERN = /^([0-9a-f]{2})+$/;

const address = zod.string().regex(ADDRESS_PATTERN, 'is not an address of the form ip:port');
const hex = zod.string().regex(HEX_PATTERN, 'is not hexadecimal');

const peer = zod.strictObject({ id: zod.string().min(1), address });

const operator = zod.strictObject({
  name: zod.string().min(1),
  id: zod.string().min(1),
  salt: hex,
  hash: hex.length(64),
});

/** Schema of the settings file. */
export const controlSchema = zod.strictObject({
  /** Name of this replica; must not change over its lifetime. */
  id: zod.string().min(1),
  /** `ip:port` on which the process accepts peers, entry VMs and operators. */
  listen: address,
  /** Initial members of the group, including this replica; empty for a replica that joins later. */
  peers: zod.array(peer).default([]),
  /** Folder for the log, on a disk that retains synced data. */
  dataDir: zod.string().min(1),
  tls: tls.tlsSchema.optional(),
  /** Operators that may issue changes; on loopback with an empty list, calls need no key. */
  operators: zod.array(operator).default([]),
  orders: zod
    .strictObject({
      /** Weight loads per minute that the weight store can serve, over all engines. */
      loadsPerMinute: zod
        .number()
        .positive()
        .default(orderTypes.DEFAULT_ORDER_OPTIONS.loadsPerMinute),
    })
    .prefault({}),
  log: zod.strictObject({ level: zod.enum(logService.LOG_LEVELS).default('info') }).prefault({}),
  metrics: zod
    .strictObject({
      host: zod.string().min(1).optional(),
      port: zod.int().min(1).max(65535).optional(),
    })
    .prefault({}),
});

/** Settings that passed the schema. */
export type ControlSettings = Readonly<zod.infer<typeof controlSchema>>;

/**
 * Reads and checks the settings of a control process.
 *
 * @throws FindingsError that lists every invalid setting.
 * @example
 * const cfg = readControlSettings('/etc/anvildeck/control.toml');
 */
export function readControlSettings(file: string): ControlSettings {
  const cfg = settings.readSettings(file, controlSchema);
  const findings = [...findInvalidPeers(file, cfg), ...findUnprotectedAccess(file, cfg)];
  if (findings.length > 0) {
    throw new findingsError.FindingsError(findings);
  }
  return cfg;
}

function findInvalidPeers(file: string, cfg: ControlSettings): readonly commonTypes.IFinding[] {
  const ids = cfg.peers.map(({ id }) => id);
  const duplicateIds = ids.filter((id, at) => ids.indexOf(id) !== at);
  const duplicates = duplicateIds.map((id) => ({
    file,
    path: 'peers',
    message: `the id ${id} appears more than once`,
    expected: 'each replica once',
  }));
  const missing = ids.length > 0 && !ids.includes(cfg.id);
  const self = {
    file,
    path: 'peers',
    message: `this replica, ${cfg.id}, is not listed`,
    expected:
      'every initial member including this replica, or an empty list for a replica that joins later',
  };
  return missing ? [...duplicates, self] : duplicates;
}

function findUnprotectedAccess(
  file: string,
  cfg: ControlSettings,
): readonly commonTypes.IFinding[] {
  const peers = cfg.peers.map((item, at) => [`peers[${at}].address`, item.address] as const);
  const plaintext = tls.findPlaintext(file, [['listen', cfg.listen], ...peers], cfg.tls);
  if (cfg.operators.length > 0 || tls.isLoopback(cfg.listen)) {
    return plaintext;
  }
  const finding = {
    file,
    path: 'operators',
    message: 'are missing, so any caller could change the configuration',
    expected: 'the lines that `anvildeckctl key new --operator NAME` prints',
  };
  return [...plaintext, finding];
}
