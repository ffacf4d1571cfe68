/** Bytes that values take as JSON; of values that are never changed after they were made: a record is measured once, not at every try. */
const measuredBytes = new WeakMap<object, number>();

const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? '');

export function jsonLength(value: unknown): number {
  if (typeof value !== 'object' || value === null) return bytesOf(value);
  let length = measuredBytes.get(value);
  if (length === undefined) measuredBytes.set(value, (length = bytesOf(value)));
  return length;
}

/** For who makes a value from one that is measured, and knows what has changed. */
export function noteLength(value: object, length: number): void {
  measuredBytes.set(value, length);
}
