/**
 * Encodes the messages of the warm standby's stream. Each starts with a byte that no other message between controllers starts with,
 * so the encoding of the other messages stays readable by earlier versions of the program.
 */
import { ADVISORY_KINDS, type FollowRequest, type StreamBatch, type StreamMessage } from '@dewlatch/standby';
import avro from 'avsc';

import { arrayOf, nullable, record } from './avro-record.js';
import { MessageDecodeError } from './message-decode-error.js';

/** The first byte of every stream message. Other messages start with 0 or 2, the encoded union branch of the envelope's first field. */
const STREAM_PREFIX_BYTE = 0xff;
const STREAM_PREFIX = Buffer.from([STREAM_PREFIX_BYTE]);

const followSchema = record('Follow', {
  node: 'string',
  incarnation: 'long',
  clock: 'double',
  followedIncarnation: 'long',
  upTo: 'long',
});

const entrySchema = record('Entry', {
  kind: { type: 'enum', name: 'Kind', symbols: [...ADVISORY_KINDS] },
  name: 'string',
  ageMs: 'long',
  healthy: 'int',
  unhealthy: 'int',
  isRemoved: 'boolean',
});

const batchSchema = record('Batch', {
  node: 'string',
  incarnation: 'long',
  after: 'long',
  upTo: 'long',
  isSnapshot: 'boolean',
  part: 'int',
  parts: 'int',
  echo: record('StreamEcho', { incarnation: 'long', clock: 'double' }),
  entries: arrayOf(entrySchema),
});

const envelopeType = avro.Type.forSchema({
  type: 'record',
  name: 'StreamEnvelope',
  namespace: 'dewlatch.stream.v1',
  fields: [
    { name: 'follow', type: nullable(followSchema) },
    { name: 'batch', type: nullable(batchSchema) },
  ],
});

/** Whether the bytes are a stream message, judged only by the first byte. */
export const isStreamMessage = (bytes: Buffer): boolean => bytes[0] === STREAM_PREFIX_BYTE;

/** Encodes a stream message, including its prefix. */
export function encodeStreamMessage(message: StreamMessage): Buffer {
  const envelope = 'follow' in message ? { ...message, batch: null } : { follow: null, ...message };
  return Buffer.concat([STREAM_PREFIX, envelopeType.toBuffer(envelope)]);
}

/** Decodes a stream message, including its prefix; throws if the bytes are not a valid stream message. */
export function decodeStreamMessage(bytes: Buffer): StreamMessage {
  const envelope = envelopeType.fromBuffer(bytes.subarray(STREAM_PREFIX.length)) as {
    follow: FollowRequest | null;
    batch: StreamBatch | null;
  };
  if (envelope.follow !== null) return { follow: envelope.follow };
  if (envelope.batch !== null) return { batch: envelope.batch };
  throw new MessageDecodeError('stream message', 'its envelope is empty');
}
