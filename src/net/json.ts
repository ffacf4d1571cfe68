/** JSON with counts above 2^53, which the JSON functions of JavaScript would round. */
import { parse, stringify } from 'lossless-json';

import { COUNT_FIELDS } from '../constants/protocol.js';
import { toCount } from '../domain/count.js';

/** A value that may be such a count: most texts have none, and are parsed several times as fast. */
const LARGE_INTEGER = /[:,[]\s*\d{16}/;

const INTEGER = /^-?\d+$/;

/**
 * Parses a text. An integer above 2^53 becomes a bigint if it stands in the field of a count or in an array, where stored records
 * have counts; all other numbers become the nearest `number`. Throws a `SyntaxError` if the text is not JSON.
 */
export function parseJson(text: string): unknown {
  if (!LARGE_INTEGER.test(text)) return JSON.parse(text) as unknown;
  // Of several fields with one name, the last one counts, as in `JSON.parse`.
  return parse(text, reviveCount, { parseNumber, onDuplicateKey: ({ newValue }) => newValue });
}

const parseNumber = (text: string): number | bigint => {
  const value = Number(text);
  return INTEGER.test(text) && !Number.isSafeInteger(value) ? BigInt(text) : value;
};

function reviveCount(this: unknown, field: string, value: unknown): unknown {
  if (typeof value !== 'bigint') return value;
  const mayBeCount = Array.isArray(this) || COUNT_FIELDS.has(field);
  return mayBeCount && toCount(value) !== undefined ? value : Number(value);
}

/** The value as JSON, with all digits of bigints. */
export function stringifyJson(value: unknown): string {
  try {
    return JSON.stringify(value);
  } catch (error) {
    // Thrown for a bigint.
    if (!(error instanceof TypeError)) throw error;
    return stringify(value) ?? 'null';
  }
}
