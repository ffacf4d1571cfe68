/** Reads and validates the settings files. */
import { readFileSync } from 'node:fs';

import { findContradiction } from '@dewlatch/standby';
import { parse as parseToml } from 'smol-toml';
import * as v from 'valibot';

import { MAX_GOSSIP_BYTES } from '../constants/gossip.js';
import { STORE_LEASE_TTL_MS } from '../constants/leadership.js';
import type { Settings } from '../domain/settings.js';
import { findLimitTooSmall } from './minimum-limits.js';
import {
  decodeSettings,
  decodeTuning,
  type SettingsFile,
  SettingsFileSchema,
  type TuningFile,
  TuningFileSchema,
} from './settings-file-codec.js';
import type { Tuning } from './tuning.js';

/** Thrown for an invalid settings file; the message names the file and the field. */
export class SettingsError extends Error {
  readonly code = 'settings_invalid';
}

/** Validates a value against a schema. Throws a `SettingsError` that names the first invalid field. */
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
    throw new SettingsError(`${path}: cannot be read: ${(error as Error).message}`, { cause: error });
  }
}

/**
 * Parses and validates the platform's settings file, keeping its own field names and units. `where` names the file in errors.
 * Throws a `SettingsError`.
 */
export function parseSettingsFile(json: string, where: string): SettingsFile {
  let raw: unknown;
  try {
    raw = JSON.parse(json);
  } catch (error) {
    throw new SettingsError(`${where}: not JSON: ${(error as Error).message}`, { cause: error });
  }
  const file = check(SettingsFileSchema, raw, where);
  const problem = findLimitTooSmall(file);
  if (problem !== undefined) throw new SettingsError(`${where}: ${problem}`);
  return file;
}

function parseTuningFile(toml: string, where: string): TuningFile {
  let raw: unknown;
  try {
    raw = parseToml(toml);
  } catch (error) {
    throw new SettingsError(`${where}: not TOML: ${(error as Error).message}`, { cause: error });
  }
  return check(TuningFileSchema, raw, where);
}

/** Parses the content of the platform's settings file. Throws a `SettingsError`. */
export const parseSettings = (json: string, where: string): Settings => decodeSettings(parseSettingsFile(json, where));

/** Parses the content of the operators' settings file. Throws a `SettingsError`. */
export function parseTuning(toml: string, where: string): Tuning {
  const tuning = decodeTuning(parseTuningFile(toml, where));
  const problem = findContradiction(tuning.standby, {
    storeLeaseTtlMs: STORE_LEASE_TTL_MS,
    linkMessageBytes: MAX_GOSSIP_BYTES,
  });
  if (problem !== undefined) throw new SettingsError(`${where}: standby.${problem}`);
  return tuning;
}

/** Reads the platform's settings file. Throws a `SettingsError`. */
export const loadSettings = (path: string): Settings => parseSettings(readText(path), path);

/** Reads the operators' settings file; without a path, returns the defaults. Throws a `SettingsError`. */
export const loadTuning = (path: string | undefined): Tuning =>
  path === undefined ? parseTuning('', '(defaults)') : parseTuning(readText(path), path);
