/** Makes the revisions and leases of a fake store start at a large count, as those of a store that has been up for long may. */
import type { HttpResponse } from '../src/net/http-client.js';
import type { RequestHandler } from './fake-network.js';

/** Fields of the store's messages with revisions or leases; a revision of 0 stands for a missing key. */
const COUNT_FIELDS = new Set(['Epoch', 'Stamp', 'Latch']);
const PATHS_WITH_COUNTS = [/(?<=\/watch\?.*From=)\d+/, /(?<=\/holds\/)\d+/];

type ConvertCount = (count: number | bigint) => number | bigint;

function convertCounts(message: unknown, convert: ConvertCount): unknown {
  if (Array.isArray(message)) return message.map((each) => convertCounts(each, convert));
  if (typeof message !== 'object' || message === null) return message;
  const entries = Object.entries(message).map(([field, value]: [string, unknown]) => {
    // The values of keys are the program's own.
    if (field === 'V') return [field, value];
    const isCount = COUNT_FIELDS.has(field) && (typeof value === 'number' || typeof value === 'bigint');
    return [field, isCount ? convert(value) : convertCounts(value, convert)];
  });
  return Object.fromEntries(entries) as unknown;
}

const convertPath = (path: string, convert: ConvertCount): string =>
  PATHS_WITH_COUNTS.reduce((text, pattern) => text.replace(pattern, (digits) => String(convert(BigInt(digits)))), path);

/** The same store, with all revisions and leases larger by `offset`. */
export function withLargeRevisions(handle: RequestHandler, offset: bigint): RequestHandler {
  const enlarge: ConvertCount = (count) => (BigInt(count) === 0n ? 0 : BigInt(count) + offset);
  const reduce: ConvertCount = (count) => (BigInt(count) < offset ? 0 : Number(BigInt(count) - offset));
  return async (method, path, body, sender): Promise<HttpResponse> => {
    const reply = await handle(method, convertPath(path, reduce), convertCounts(body, reduce), sender);
    return { ...reply, body: convertCounts(reply.body, enlarge) };
  };
}
