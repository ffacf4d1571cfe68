/**
 * Bytes that values take as JSON. Values that are measured must never be changed afterwards: a record is measured once, not at
 * every attempt to write it.
 */
const measuredBytes = new WeakMap<object, number>();

const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? '');

/** The length of the value as JSON, in bytes. */
export function jsonLength(value: unknown): number {
  if (typeof value !== 'object' || value === null) return bytesOf(value);
  const known = measuredBytes.get(value);
  if (known !== undefined) return known;
  const length = bytesOf(value);
  measuredBytes.set(value, length);
  return length;
}

/** For callers that derive a value from a measured one, and know by how much its length differs. */
export function noteLength(value: object, length: number): void {
  measuredBytes.set(value, length);
}
