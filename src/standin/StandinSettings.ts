/** Settings of the stand-in process and the check of fault switches. */
import * as zod from 'zod';
import * as logService from '../common/services/LogService.js';
import * as types from './Types.js';

const MAX_SPAN_MS = 600_000;
const MAX_COUNT = 10_000_000;

const share = zod.number().min(0).max(1);
const span = zod.number().min(0).max(MAX_SPAN_MS);
const count = zod.int().min(0).max(MAX_COUNT);
const address = zod
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'is no address of the form ip:port');

const vm = zod.strictObject({
  name: zod.string().min(1),
  address,
  state: zod.enum(['live', 'leaving']).default('live'),
});

/** A change of fault switches: any subset of them. */
export const faultsSchema = zod.strictObject({
  delayMs: span.optional(),
  stragglerFactor: zod.number().min(0).max(1000).optional(),
  crashMarker: zod.string().optional(),
  restartMs: span.optional(),
  cutAtToken: count.optional(),
  crossedShare: share.optional(),
  lateMs: span.optional(),
  refuseShare: share.optional(),
  errorShare: share.optional(),
  dropShare: share.optional(),
  leaving: zod.boolean().optional(),
  loadLagMs: span.optional(),
  cacheLagMs: span.optional(),
  cacheGapShare: share.optional(),
  checksFencing: zod.boolean().optional(),
  weightsPerSecond: zod.number().min(0).max(MAX_COUNT).optional(),
  listLagMs: span.optional(),
});

/** A new platform list. */
export const vmsSchema = zod.strictObject({ vms: zod.array(vm) });

const defaults = types.DEFAULT_OPTIONS;

const standin = zod.strictObject({
  name: zod.string().min(1),
  kind: zod.enum(types.STANDIN_KINDS),
  listen: address.default(defaults.listen),
  slots: zod.int().min(1).max(MAX_COUNT).default(defaults.slots),
  queueLimit: count.default(defaults.queueLimit),
  serviceMs: span.default(defaults.serviceMs),
  jitter: share.default(defaults.jitter),
  tokenMs: span.default(defaults.tokenMs),
  tokens: zod.int().min(1).max(MAX_COUNT).default(defaults.tokens),
  cachePrefixes: count.default(defaults.cachePrefixes),
  keyFields: zod.array(zod.string().min(1)).default([...defaults.keyFields]),
  vms: zod.array(vm).default([]),
  faults: faultsSchema.default({}),
});

function namesDiffer(standins: readonly { readonly name: string }[]): boolean {
  return new Set(standins.map((item) => item.name)).size === standins.length;
}

/** Settings of `anvildeck-standin`. */
export const settingsSchema = zod.strictObject({
  seed: zod.int().default(1),
  logLevel: zod.enum(logService.LOG_LEVELS).default('info'),
  standins: zod.array(standin).min(1).refine(namesDiffer, 'two stand-ins have the same name'),
});

/** Checked settings of `anvildeck-standin`. */
export type StandinSettings = zod.infer<typeof settingsSchema>;

/** Drops the keys of a checked change that are undefined. */
export function toFaultChange(
  checked: zod.infer<typeof faultsSchema>,
): Partial<types.IStandinFaults> {
  const present = Object.entries(checked).filter(([, value]) => value !== undefined);
  return Object.fromEntries(present);
}

/** Turns one checked entry into the options of a stand-in. */
export function toOptions(entry: StandinSettings['standins'][number]): types.IStandinOptions {
  return { ...entry, faults: toFaultChange(entry.faults) };
}
