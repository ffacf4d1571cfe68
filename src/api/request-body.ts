/** Reads the JSON bodies of requests, up to the protocol's limit. */
import type { IncomingMessage } from 'node:http';

import { MAX_BODY_BYTES } from '../constants/api.js';

/** A body that was read, or why it can't be. */
export type RequestBody = { kind: 'json'; value: unknown } | { kind: 'malformed' } | { kind: 'too_large' };

const TOO_LARGE: RequestBody = { kind: 'too_large' };

/**
 * Calls `done` once, with the whole body; never, if the sender disconnects before. Callbacks in place of promises, and no
 * listener that is not needed, since this runs for each heartbeat of each worker.
 */
export function readBody(request: IncomingMessage, done: (body: RequestBody) => void): void {
  if (Number(request.headers['content-length'] ?? 0) > MAX_BODY_BYTES) {
    done(TOO_LARGE);
    return;
  }
  const parts: Buffer[] = [];
  let sizeBytes = 0;
  request.on('data', (part: Buffer) => {
    const wasTooLarge = sizeBytes > MAX_BODY_BYTES;
    sizeBytes += part.length;
    if (sizeBytes <= MAX_BODY_BYTES) parts.push(part);
    else if (!wasTooLarge) done(TOO_LARGE);
  });
  request.on('end', () => {
    if (sizeBytes <= MAX_BODY_BYTES) done(parse(parts));
  });
}

/** The parts are joined only if there are several: a heartbeat mostly comes in one. */
function parse(parts: readonly Buffer[]): RequestBody {
  const whole = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  try {
    return { kind: 'json', value: JSON.parse(whole.toString('utf8')) };
  } catch {
    return { kind: 'malformed' };
  }
}
