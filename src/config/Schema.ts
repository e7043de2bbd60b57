/** Schema of a declaration in TOML: keys are in snake_case and unknown keys are rejected. */
import * as net from 'node:net';
import * as zod from 'zod';
import * as configTypes from './Types.js';

/** Default values of optional keys, shared by the schema and the functions of `declare`. */
export const DECLARATION_DEFAULTS = {
  version: 0,
  share: 1,
  patience: 'interactive',
  attainmentTarget: 0.99,
  resumable: false,
  costPerSecond: 0,
  checksFencing: false,
  role: 'both',
  stageRepeatable: true,
} as const;

/** Minimum number of stages in a pipeline. */
export const MIN_STAGES = 3;

/** Maximum number of stages in a pipeline. */
export const MAX_STAGES = 6;

/** Longest deadline of a kind of request, in milliseconds: one day. */
export const MAX_DEADLINE_MS = 24 * 60 * 60 * 1000;

const MAX_PORT = 65535;
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const HEX_PATTERN = /^([0-9a-f]{2})+$/;
const FIELD_PATTERN = /^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$/;
const ROUTE_PATTERN = /^(\{\w+\}|[\w.~-]+)(\/(\{\w+\}|[\w.~-]+))*$/;
const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

/** Whether a string is `ip:port` with a numeric IP address (IPv6 in brackets) and a port from 1 to 65535. */
function isAddress(value: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(value);
  const ip = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  const family = match?.[1] === undefined ? 4 : 6;
  return net.isIP(ip) === family && port > 0 && port <= MAX_PORT;
}

/** A string schema whose findings consist of `message` and `expected`. */
function validatedString(isValid: (value: string) => boolean, message: string, expected: string) {
  return zod.string().refine(isValid, { error: message, params: { expected } });
}

const name = validatedString(
  (value) => NAME_PATTERN.test(value),
  'is not a valid name',
  'up to 63 characters of a-z, 0-9, ".", "_" and "-", starting with a letter or digit',
);

const keyId = validatedString(
  (value) => /^[a-z0-9-]{1,64}$/.test(value),
  'is not a valid key id',
  'the id that `anvildeckctl key new` prints: up to 64 characters of a-z, 0-9 and "-"',
);

const hex = validatedString(
  (value) => HEX_PATTERN.test(value),
  'is not hexadecimal',
  'pairs of 0-9 and a-f, as `anvildeckctl key new` prints them',
);

const address = validatedString(
  isAddress,
  'is not a valid address',
  'an IP address and a port, such as "10.0.1.7:8000" or "[fd00::7]:8000"',
);

const naturalKey = zod
  .array(
    validatedString(
      (value) => FIELD_PATTERN.test(value),
      'is not a valid field path',
      'a field name or a dotted path of field names, such as "account" or "entry.number"',
    ),
  )
  .default([]);

const zone = zod.strictObject({ name, region: name });

const workspace = zod.strictObject({
  name,
  share: zod.number().positive().default(DECLARATION_DEFAULTS.share),
  keys: zod.array(zod.strictObject({ id: keyId, salt: hex, hash: hex })).default([]),
});

const kind = zod.strictObject({
  name,
  deadline_ms: zod.number().int().positive().max(MAX_DEADLINE_MS),
  patience: zod.enum(['interactive', 'patient']).default(DECLARATION_DEFAULTS.patience),
  attainment_target: zod.number().positive().max(1).default(DECLARATION_DEFAULTS.attainmentTarget),
  cost_target: zod.number().positive(),
});

const endpoint = zod.strictObject({
  name,
  address,
  zone: zod.string(),
  checks_fencing: zod.boolean().default(DECLARATION_DEFAULTS.checksFencing),
  role: zod.enum(['both', 'prefill', 'decode']).default(DECLARATION_DEFAULTS.role),
});

const pool = zod.strictObject({
  name,
  kind: zod.enum([...configTypes.STAGE_KINDS, 'service']),
  resumable: zod.boolean().default(DECLARATION_DEFAULTS.resumable),
  cost_per_second: zod.number().nonnegative().default(DECLARATION_DEFAULTS.costPerSecond),
  endpoints: zod.array(endpoint).min(1),
});

const stage = zod.strictObject({
  name,
  kind: zod.enum(configTypes.STAGE_KINDS),
  pool: zod.string(),
  model: zod.string().min(1).optional(),
  repeatable: zod.boolean().default(DECLARATION_DEFAULTS.stageRepeatable),
  max_tokens: zod.number().int().positive().optional(),
});

const pipeline = zod.strictObject({
  name,
  kind: zod.string(),
  stages: zod.array(stage).min(MIN_STAGES).max(MAX_STAGES),
  natural_key: naturalKey,
});

const route = zod.strictObject({
  method: zod.enum(METHODS),
  path: validatedString(
    (value) => ROUTE_PATTERN.test(value),
    'is not a valid path relative to the service',
    'path segments without a leading slash, such as "accounts/{id}/balance"',
  ),
  kind: zod.string(),
  // Required, without a default: only the operator can decide whether the call may be sent twice.
  repeatable: zod.boolean(),
  natural_key: naturalKey,
});

const service = zod.strictObject({
  name,
  pool: zod.string(),
  routes: zod.array(route).min(1),
});

/** Schema of a complete declaration as written in TOML. It does not check references between entries. */
export const declarationSchema = zod.strictObject({
  version: zod.number().int().nonnegative().default(DECLARATION_DEFAULTS.version),
  name,
  zones: zod.array(zone).min(1),
  workspaces: zod.array(workspace).min(1),
  kinds: zod.array(kind).min(1),
  pools: zod.array(pool).min(1),
  pipelines: zod.array(pipeline).default([]),
  services: zod.array(service).default([]),
});
