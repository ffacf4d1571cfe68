/** Counts of the protocols: versions, revisions, tokens, attempts and sequence numbers, which are integers below 2^64. */

/**
 * A number if that is exact, else a bigint. So `===` holds exactly for equal counts, and `<` and `>` compare any two of them exactly;
 * sums, `Math.max` and JSON need the functions for counts.
 */
export type Count = number | bigint;

const COUNT_LIMIT = 2n ** 64n;

/** The count that a decoded JSON value is; undefined: it is none. */
export function toCount(value: unknown): Count | undefined {
  if (typeof value === 'bigint') return fromBigint(value);
  if (Number.isSafeInteger(value)) return (value as number) >= 0 ? (value as number) : undefined;
  // An integer in the notation of a decimal number, such as 1.8e18.
  return Number.isInteger(value) ? fromBigint(BigInt(value as number)) : undefined;
}

function fromBigint(value: bigint): Count | undefined {
  if (value < 0n || value >= COUNT_LIMIT) return undefined;
  return value <= Number.MAX_SAFE_INTEGER ? Number(value) : value;
}

/** Whether the value is a count. */
export const isCount = (value: unknown): value is Count => toCount(value) === value;

/** The larger of two counts; they may also be infinite. */
export const maxCount = (a: Count, b: Count): Count => (a < b ? b : a);

/** Negative if `a` is smaller than `b`, positive if it is larger, otherwise 0. */
export const compareCounts = (a: Count, b: Count): number => Number(a > b) - Number(a < b);
