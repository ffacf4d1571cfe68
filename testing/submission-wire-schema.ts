/** Validates submissions by the protocol's table of fields. */

const isText = (value: unknown) => typeof value === 'string' && value !== '';
const isAmount = (value: unknown) => typeof value === 'number' && Number.isFinite(value) && value >= 0;
const isFlag = (value: unknown) => typeof value === 'boolean';
const oneOf = (words: string[]) => (value: unknown) => words.includes(value as string);
const orNull = (check: (value: unknown) => boolean) => (value: unknown) =>
  value === undefined || value === null || check(value);

const FIELDS: Record<string, (value: unknown) => boolean> = {
  Ref: (value) => isText(value) && (value as string).startsWith('j-'),
  Jobclass: (value) => typeof value === 'string',
  Owner: isText,
  Shape: oneOf(['array', 'ensemble', 'service']),
  Rank: oneOf(['prod', 'high', 'normal', 'low']),
  Shards: (value) => Number.isInteger(value) && (value as number) >= 1 && (value as number) <= 100_000,
  Cpus: isAmount,
  Cards: isAmount,
  MemGb: isAmount,
  Flavors: orNull((value) => Array.isArray(value) && value.every(isText)),
  Site: orNull(isText),
  OneZone: isFlag,
  Spread: isFlag,
  Reclaimable: isFlag,
  Bundle: isText,
  SizeGb: isAmount,
  GuessS: isAmount,
  SnapshotEveryS: isAmount,
  SnapshotS: isAmount,
  DueS: orNull(isAmount),
  Awaits: orNull((value) => Array.isArray(value) && value.every(isText)),
};

/** The wire name of the first missing or invalid field; undefined if the submission is well-formed. */
export function invalidField(body: unknown): string | undefined {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) return 'not an object';
  return Object.entries(FIELDS).find(([name, check]) => !check((body as Record<string, unknown>)[name]))?.[0];
}
