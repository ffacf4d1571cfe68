/**
 * The encoding of the warm standby's stream. Its messages begin with a byte that no other message between controllers begins
 * with, so the other messages keep the bytes that earlier versions of the program read.
 */
import { ADVISORY_KINDS, type FollowRequest, type StreamBatch, type StreamMessage } from '@dewlatch/standby';
import avro from 'avsc';

import { arrayOf, nullable, record } from './avro-record.js';
import { MessageDecodeError } from './message-decode-error.js';

/** The first byte of every stream message. Other messages begin with 0 or 2, the branches of the envelope's first field. */
const STREAM_PREFIX_BYTE = 0xff;
const STREAM_PREFIX = Buffer.from([STREAM_PREFIX_BYTE]);

const follow = record('Follow', {
  node: 'string',
  incarnation: 'long',
  clock: 'double',
  followedIncarnation: 'long',
  upTo: 'long',
});

const entry = record('Entry', {
  kind: { type: 'enum', name: 'Kind', symbols: [...ADVISORY_KINDS] },
  name: 'string',
  ageMs: 'long',
  healthy: 'int',
  unhealthy: 'int',
  isRemoved: 'boolean',
});

const batch = record('Batch', {
  node: 'string',
  incarnation: 'long',
  after: 'long',
  upTo: 'long',
  isSnapshot: 'boolean',
  part: 'int',
  parts: 'int',
  echo: record('StreamEcho', { incarnation: 'long', clock: 'double' }),
  entries: arrayOf(entry),
});

const envelopeType = avro.Type.forSchema({
  type: 'record',
  name: 'StreamEnvelope',
  namespace: 'dewlatch.stream.v1',
  fields: [
    { name: 'follow', type: nullable(follow) },
    { name: 'batch', type: nullable(batch) },
  ],
});

/** Whether the bytes are a message of the stream, by their first byte alone. */
export const isStreamMessage = (bytes: Buffer): boolean => bytes[0] === STREAM_PREFIX_BYTE;

/** Encodes a message of the stream, its prefix included. */
export function encodeStreamMessage(message: StreamMessage): Buffer {
  const envelope = 'follow' in message ? { ...message, batch: null } : { follow: null, ...message };
  return Buffer.concat([STREAM_PREFIX, envelopeType.toBuffer(envelope)]);
}

/** Decodes a message of the stream, its prefix included; throws when the bytes are none. */
export function decodeStreamMessage(bytes: Buffer): StreamMessage {
  const envelope = envelopeType.fromBuffer(bytes.subarray(STREAM_PREFIX.length)) as {
    follow: FollowRequest | null;
    batch: StreamBatch | null;
  };
  if (envelope.follow !== null) return { follow: envelope.follow };
  if (envelope.batch !== null) return { batch: envelope.batch };
  throw new MessageDecodeError('stream message', 'its envelope is empty');
}
