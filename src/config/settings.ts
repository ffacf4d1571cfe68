/** The platform's settings (JSON) and the operators' own (TOML), checked field by field. */
import { readFileSync } from 'node:fs';
import * as v from 'valibot';
import { parse as parseToml } from 'smol-toml';
import { DEFAULT_STANDBY_SETTINGS, findContradiction, StandbySettingsSchema } from '@dewlatch/standby';
import { DEFAULT_TUNING, HOLD_TTL_MS, MAX_GOSSIP_BYTES } from '../constants.js';
import { limitTooSmall } from './least-limits.js';

const text = v.pipe(v.string(), v.minLength(1));
const address = v.pipe(v.string(), v.regex(/^[^\s:]+:\d{1,5}$/, 'must be HOST:PORT'));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));

const TeamSchema = v.object({
  name: text,
  cpus: v.optional(amount, 0),
  cpus_max: v.optional(amount, 0),
  gpus: v.optional(amount, 0),
  gpus_max: v.optional(amount, 0),
});

const ObjectiveSchema = v.object({
  kind: v.string(),
  class: v.optional(v.string()),
  within_s: v.optional(v.number()),
  times: v.optional(v.number()),
});

const StateLimitsSchema = { rps: positive, write_rps: positive, value_kb: positive, txn_ops: count };

const SettingsSchema = v.object({
  node: text,
  location: v.optional(v.string(), ''),
  bind: address,
  mesh_addr: address,
  peers: v.array(v.object({ node: text, location: v.optional(v.string(), ''), address })),
  outside: v.object({ cloud: address, state: address }),
  cluster: v.object({
    size: count,
    zones: v.array(text),
    teams: v.array(TeamSchema),
    objectives: v.optional(v.array(ObjectiveSchema), []),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({ ...StateLimitsSchema, next: v.optional(v.nullable(v.partial(v.object(StateLimitsSchema)))) }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    limits: v.optional(
      v.object({
        cpu: v.optional(positive, 1),
        ram_mb: v.optional(positive, 146),
        sockets: v.optional(count, 500),
      }),
      {},
    ),
    clock_error_ms: v.optional(amount, 100),
  }),
});

const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const TuningSchema = v.strictObject({
  threshold: v.optional(share, DEFAULT_TUNING.threshold),
  window_s: v.optional(positive, DEFAULT_TUNING.window_s),
  check_s: v.optional(positive, DEFAULT_TUNING.check_s),
  moves_per_round: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), DEFAULT_TUNING.moves_per_round),
  image_bonus: v.optional(share, DEFAULT_TUNING.image_bonus),
  standby: v.optional(StandbySettingsSchema, DEFAULT_STANDBY_SETTINGS),
});

export type Settings = v.InferOutput<typeof SettingsSchema>;
export type Objective = v.InferOutput<typeof ObjectiveSchema>;
export type Team = v.InferOutput<typeof TeamSchema>;
export type Tuning = v.InferOutput<typeof TuningSchema>;

/** A settings file that can't be used; the message names the field. */
export class SettingsError extends Error {}

function check<S extends v.GenericSchema>(schema: S, value: unknown, where: string): v.InferOutput<S> {
  const result = v.safeParse(schema, value);
  if (result.success) return result.output;
  const issue = result.issues[0];
  throw new SettingsError(`${where}: ${v.getDotPath(issue) ?? '(top level)'}: ${issue.message}`);
}

function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`${path}: cannot be read: ${(error as Error).message}`);
  }
}

export function parseSettings(text: string, where: string): Settings {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`${where}: not JSON: ${(error as Error).message}`);
  }
  const settings = check(SettingsSchema, raw, where);
  const fault = limitTooSmall(settings);
  if (fault !== undefined) throw new SettingsError(`${where}: ${fault}`);
  return settings;
}

export function parseTuning(text: string, where: string): Tuning {
  let raw: unknown;
  try {
    raw = parseToml(text);
  } catch (error) {
    throw new SettingsError(`${where}: not TOML: ${(error as Error).message}`);
  }
  const tuning = check(TuningSchema, raw, where);
  const fault = findContradiction(tuning.standby, { holdMs: HOLD_TTL_MS, linkMessageBytes: MAX_GOSSIP_BYTES });
  if (fault !== undefined) throw new SettingsError(`${where}: standby.${fault}`);
  return tuning;
}

export const loadSettings = (path: string): Settings => parseSettings(readText(path), path);
export const loadTuning = (path: string | undefined): Tuning =>
  path === undefined ? parseTuning('', '(defaults)') : parseTuning(readText(path), path);
