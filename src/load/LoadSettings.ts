/** The experiment file of the load generator. */
import * as path from 'node:path';
import * as zod from 'zod';
import * as settings from '../common/settings/Settings.js';
import * as types from './Types.js';

const MAX_RATE = 20_000;
const MAX_SECONDS = 3600;
const MAX_REQUESTS = 1_000_000;
const DEFAULT_MAX_IN_FLIGHT = 2000;
const MAX_IN_FLIGHT = 20_000;
const LOOPBACK = /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d{1,5}$/;

const variantSchema = zod.strictObject({
  name: zod.string().min(1),
  entries: zod
    .array(zod.string().regex(LOOPBACK, 'is not on loopback; load is sent to 127.x.y.z:port only'))
    .min(1),
  mix: zod.enum(types.MIX_NAMES),
  arrivals: zod.enum(types.ARRIVAL_SHAPES).default('poisson'),
  rate: zod.number().positive().max(MAX_RATE),
  seconds: zod.number().positive().max(MAX_SECONDS),
  maxRequests: zod.int().min(1).max(MAX_REQUESTS).default(MAX_REQUESTS),
  maxInFlight: zod.int().min(1).max(MAX_IN_FLIGHT).default(DEFAULT_MAX_IN_FLIGHT),
});

const experimentSchema = zod.strictObject({
  seed: zod.int().default(1),
  keysFile: zod.string().min(1),
  variants: zod.array(variantSchema).min(1),
});

const keysSchema = zod.strictObject({
  keys: zod.array(zod.strictObject({ workspace: zod.string().min(1), key: zod.string().min(1) })),
});

/** A whole experiment. */
export interface IExperiment {
  readonly seed: number;
  /** Key text by workspace. */
  readonly keys: Readonly<Record<string, string>>;
  readonly variants: readonly types.IVariant[];
}

/**
 * Reads an experiment and the file of keys that it names, relative to its own folder.
 *
 * @throws FindingsError with every fault found.
 * @example
 * const experiment = readExperiment('month-end.toml');
 */
export function readExperiment(file: string): IExperiment {
  const raw = settings.readSettings(file, experimentSchema);
  const keysFile = path.resolve(path.dirname(file), raw.keysFile);
  const { keys } = settings.readSettings(keysFile, keysSchema);
  const byWorkspace = keys.map(({ workspace, key }) => [workspace, key] as const);
  return { seed: raw.seed, keys: Object.fromEntries(byWorkspace), variants: raw.variants };
}
