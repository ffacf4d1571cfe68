/** Reads the JSON bodies of requests, up to the protocol's limit. */
import type { IncomingMessage } from 'node:http';

import { MAX_MESSAGE_BYTES } from '../constants/protocol.js';
import { parseJson } from '../net/json.js';

/** The parsed body, or the reason why there is none. */
export type RequestBody = { kind: 'json'; value: unknown } | { kind: 'malformed' } | { kind: 'too_large' };

const TOO_LARGE: RequestBody = { kind: 'too_large' };

/**
 * Calls `onBody` once, with the whole body, or never if the sender disconnects first. Uses callbacks instead of promises and as
 * few listeners as possible, since it runs for every heartbeat of every worker.
 */
export function readBody(request: IncomingMessage, onBody: (body: RequestBody) => void): void {
  if (Number(request.headers['content-length'] ?? 0) > MAX_MESSAGE_BYTES) {
    onBody(TOO_LARGE);
    return;
  }
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  request.on('data', (chunk: Buffer) => {
    const wasTooLarge = sizeBytes > MAX_MESSAGE_BYTES;
    sizeBytes += chunk.length;
    if (sizeBytes <= MAX_MESSAGE_BYTES) chunks.push(chunk);
    else if (!wasTooLarge) onBody(TOO_LARGE);
  });
  request.on('end', () => {
    if (sizeBytes <= MAX_MESSAGE_BYTES) onBody(parseBody(chunks));
  });
}

/** Concatenates the chunks only if there are several: most heartbeats arrive in one. */
function parseBody(chunks: readonly Buffer[]): RequestBody {
  const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
  try {
    return { kind: 'json', value: parseJson(body.toString('utf8')) };
  } catch {
    return { kind: 'malformed' };
  }
}
