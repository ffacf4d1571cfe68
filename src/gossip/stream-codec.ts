/**
 * The encoding of the warm standby's stream. Its messages begin with a byte that no other message between controllers begins
 * with, so those keep every byte that earlier versions know.
 */
import avro from 'avsc';
import { ADVISORY_KINDS, type FollowRequest, type StreamBatch, type StreamMessage } from '@dewlatch/standby';
import { record } from './avro-record.js';

/** Other messages begin with 0 or 2, the branches of the envelope's first field. */
const STREAM_MARK = 0xff;
const MARK = Buffer.from([STREAM_MARK]);

const follow = record('Follow', {
  ...{ node: 'string', incarnation: 'long', clock: 'double' },
  ...{ followedIncarnation: 'long', upTo: 'long' },
});

const entry = record('Entry', {
  kind: { type: 'enum', name: 'Kind', symbols: [...ADVISORY_KINDS] },
  ...{ name: 'string', ageMs: 'long', healthy: 'int', unhealthy: 'int', isRemoved: 'boolean' },
});

const batch = record('Batch', {
  ...{
    node: 'string',
    incarnation: 'long',
    after: 'long',
    upTo: 'long',
    isSnapshot: 'boolean',
    part: 'int',
    parts: 'int',
  },
  echo: record('StreamEcho', { incarnation: 'long', clock: 'double' }),
  entries: { type: 'array', items: entry },
});

const envelope = avro.Type.forSchema({
  type: 'record',
  name: 'StreamEnvelope',
  namespace: 'dewlatch.stream.v1',
  fields: [
    { name: 'follow', type: ['null', follow] },
    { name: 'batch', type: ['null', batch] },
  ],
} as avro.Schema);

export const isStreamMessage = (bytes: Buffer): boolean => bytes[0] === STREAM_MARK;

export function encodeStreamMessage(message: StreamMessage): Buffer {
  const fields = 'follow' in message ? { ...message, batch: null } : { follow: null, ...message };
  return Buffer.concat([MARK, envelope.toBuffer(fields)]);
}

/** Throws when the bytes are not a message of the stream. */
export function decodeStreamMessage(bytes: Buffer): StreamMessage {
  const raw = envelope.fromBuffer(bytes.subarray(MARK.length)) as {
    follow: FollowRequest | null;
    batch: StreamBatch | null;
  };
  if (raw.follow !== null) return { follow: raw.follow };
  if (raw.batch !== null) return { batch: raw.batch };
  throw new Error('empty message');
}
