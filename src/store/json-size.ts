/**
 * Lengths of values as JSON, in bytes, cached so that a record is measured once and not at every attempt to write it. Measured
 * values must never be modified afterwards.
 */
import { stringifyJson } from '../net/json.js';
const knownLengths = new WeakMap<object, number>();

const measureJsonLength = (value: unknown): number => Buffer.byteLength(stringifyJson(value) ?? '');

/** The length of the value as JSON, in bytes. */
export function jsonLength(value: unknown): number {
  if (typeof value !== 'object' || value === null) return measureJsonLength(value);
  const known = knownLengths.get(value);
  if (known !== undefined) return known;
  const length = measureJsonLength(value);
  knownLengths.set(value, length);
  return length;
}

/** Caches the length of a value that the caller derived from a measured one, with a known difference in length. */
export function cacheJsonLength(value: object, length: number): void {
  knownLengths.set(value, length);
}
