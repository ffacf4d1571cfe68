/** The Avro encoding of counts up to 2^64, of which the library's own `long` takes only those that a number holds exactly. */
import avro from 'avsc';

import { compareCounts, type Count, isCount, toCount } from '../domain/count.js';

const LONG_BYTES = 8;
const LONG_BITS = 64;

/** Stands for a count that is not known yet, and takes the encoding of 2^64 - 1, which no other count follows. */
const NONE = -1;

/** The largest count that the library's `long` takes. */
export const LARGEST_LONG = Number.MAX_SAFE_INTEGER - 1;

function toBytes(count: Count): Buffer {
  const bytes = Buffer.alloc(LONG_BYTES);
  bytes.writeBigUInt64LE(BigInt.asUintN(LONG_BITS, BigInt(count)));
  return bytes;
}

function fromBytes(bytes: Buffer): Count {
  const isNone = bytes.readBigInt64LE() === BigInt(NONE);
  return isNone ? NONE : toCount(bytes.readBigUInt64LE())!;
}

/** Encodes a count as the `long` with the same 64 bits: the same bytes as the library's type, for counts that both encode. */
export const AVRO_COUNT = avro.types.LongType.__with({
  fromBuffer: fromBytes,
  toBuffer: toBytes,
  fromJSON: (value: Count): Count => value,
  toJSON: (value: Count): Count => value,
  isValid: (value: unknown): boolean => value === NONE || isCount(value),
  compare: compareCounts,
});

/** Whether the library's `long` has decoded a count above 2^63 as the negative number with the same 64 bits. */
export const isMisread = (decoded: Count): boolean => decoded < NONE;
