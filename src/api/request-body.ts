/** Reads the JSON bodies of requests, up to the protocol's limit. */
import type { IncomingMessage } from 'node:http';
import { MAX_BODY_BYTES } from '../constants/api.js';

export type RequestBody = { kind: 'json'; value: unknown } | { kind: 'malformed' } | { kind: 'too large' };

const TOO_LARGE: RequestBody = { kind: 'too large' };

/**
 * Calls `done` once, with the whole body; never, if the sender goes away before. Callbacks in place of promises, and no
 * listener that is not needed, since this runs for each report of each worker.
 */
export function readBody(request: IncomingMessage, done: (body: RequestBody) => void): void {
  if (Number(request.headers['content-length'] ?? 0) > MAX_BODY_BYTES) {
    done(TOO_LARGE);
    return;
  }
  const parts: Buffer[] = [];
  let size = 0;
  request.on('data', (part: Buffer) => {
    const wasTooLarge = size > MAX_BODY_BYTES;
    size += part.length;
    if (size <= MAX_BODY_BYTES) parts.push(part);
    else if (!wasTooLarge) done(TOO_LARGE);
  });
  request.on('end', () => {
    if (size <= MAX_BODY_BYTES) done(parse(parts));
  });
}

function parse(parts: readonly Buffer[]): RequestBody {
  const whole = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  try {
    return { kind: 'json', value: JSON.parse(whole.toString('utf8')) };
  } catch {
    return { kind: 'malformed' };
  }
}
