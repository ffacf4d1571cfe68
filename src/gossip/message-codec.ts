/**
 * Encodes messages between controllers as an Avro envelope with one optional field for each kind. Controllers of two versions run
 * side by side during a deployment, so the encoding must not change: it depends on the order and types of the fields, not on their
 * names.
 */
import avro from 'avsc';

import type { Count } from '../domain/count.js';
import { AVRO_COUNT, isMisread } from './avro-count.js';
import { arrayOf, nullable, record } from './avro-record.js';
import { withoutLargeCounts } from './large-counts.js';
import { MessageDecodeError } from './message-decode-error.js';
import { MessageEncodeError } from './message-encode-error.js';
import type {
  DeltaRequest,
  ForwardedHeartbeat,
  ForwardedHeartbeatAnswer,
  Gossip,
  Message,
  RecordDelta,
  ReplicaDelta,
} from './messages.js';
import { decodeStreamMessage, encodeStreamMessage, isStreamMessage } from './stream-codec.js';

/** How the counts in a message are encoded. */
type CountEncoding =
  /** By the library's `long`, which takes only counts up to 2^53. */
  | 'long'
  /** By `AVRO_COUNT`, which takes all. */
  | typeof EXACT_COUNT;

const NAMESPACE = 'dewlatch.mesh.v3';
const EXACT_COUNT = 'Count';

const machineUpdateSchema = (count: CountEncoding): avro.Schema =>
  record('MachineUpdate', {
    machineId: 'string',
    number: 'long',
    endpoint: 'string',
    machineType: 'string',
    zone: 'string',
    isSpot: 'boolean',
    agentEpoch: count,
    sequence: count,
    heartbeatAgeMs: 'double',
    stateAgeMs: 'double',
    spotNoticeMs: nullable('double'),
    isQuarantined: 'boolean',
    isBackingOff: 'boolean',
    isUnreached: 'boolean',
    isSlow: 'boolean',
    isMute: 'boolean',
    images: arrayOf('string'),
    failedJobs: arrayOf('string'),
    partitionLeader: 'string',
  });

const gossipSchema = (count: CountEncoding): avro.Schema =>
  record('Gossip', {
    node: 'string',
    uptimeMs: 'double',
    replicaAgeMs: 'double',
    isWithoutStore: 'boolean',
    clockMs: 'double',
    echo: nullable(record('Echo', { incarnation: 'long', clockMs: 'double' })),
    isLoaded: 'boolean',
    version: 'long',
    reachablePeers: arrayOf('string'),
    incarnation: 'long',
    messageNumber: 'long',
    isSnapshot: 'boolean',
    wantsSnapshot: 'boolean',
    machines: arrayOf(machineUpdateSchema(count)),
    unchanged: record('UnchangedMachines', {
      numbers: arrayOf('long'),
      heartbeatAgesMs: arrayOf('long'),
      sequences: arrayOf(count),
    }),
    misroutedHeartbeats: arrayOf(record('MisroutedHeartbeat', { machineId: 'string', ageMs: 'double' })),
    avoidedRoles: arrayOf('string'),
    terminatedMachines: arrayOf('string'),
  });

const recordChangeSchema = (count: CountEncoding): avro.Schema =>
  record('RecordChange', { key: 'string', value: nullable('string'), modRevision: count });

const replicaDeltaSchema = (count: CountEncoding): avro.Schema =>
  record('Delta', {
    node: 'string',
    incarnation: 'long',
    version: 'long',
    fromRevision: count,
    afterRevision: count,
    lastRevision: count,
    isComplete: 'boolean',
    completeRevision: count,
    // Referenced by name: Avro allows one definition of a named type, and `news`, which precedes this field in the envelope, contains it.
    changes: arrayOf('RecordChange'),
  });

/** The envelope's fields in encoding order; exactly one of them is not null. */
interface Envelope {
  gossip: Gossip | null;
  relay: ForwardedHeartbeat | null;
  relayAnswer: ForwardedHeartbeatAnswer | null;
  news: RecordDelta | null;
  ask: DeltaRequest | null;
  delta: ReplicaDelta | null;
}

const envelopeSchemas = (count: CountEncoding): Record<keyof Envelope, avro.Schema> => ({
  gossip: gossipSchema(count),
  relay: record('ForwardedHeartbeat', { node: 'string', id: 'long', status: 'string' }),
  relayAnswer: record('RelayAnswer', { node: 'string', id: 'long', status: 'int', body: 'string' }),
  news: record('News', { changes: arrayOf(recordChangeSchema(count)) }),
  ask: record('Ask', { node: 'string', fromRevision: count, afterRevision: count }),
  delta: replicaDeltaSchema(count),
});

const createEnvelopeType = (count: CountEncoding): avro.Type =>
  avro.Type.forSchema(
    {
      type: 'record',
      name: 'Envelope',
      namespace: NAMESPACE,
      fields: Object.entries(envelopeSchemas(count)).map(([name, schema]) => ({
        ...{ name, type: nullable(schema), default: null },
      })),
    },
    { registry: { [`${NAMESPACE}.${EXACT_COUNT}`]: AVRO_COUNT } },
  );

/** Encodes and decodes usual messages, several times as fast as the other type. */
const envelopeType = createEnvelopeType('long');
/** The same encoding, for messages with counts above 2^53. */
const exactEnvelopeType = createEnvelopeType(EXACT_COUNT);

/** Omitted fields are encoded as null. */
function toEnvelope(message: Exclude<Message, { kind: 'standby_stream' }>): Partial<Envelope> {
  switch (message.kind) {
    case 'gossip':
      return { gossip: message.payload };
    case 'forwarded_heartbeat':
      return { relay: message.payload };
    case 'forwarded_heartbeat_answer':
      return { relayAnswer: message.payload };
    case 'record_delta':
      return { news: message.payload };
    case 'delta_request':
      return { ask: message.payload };
    case 'replica_delta':
      return { delta: message.payload };
  }
}

function fromEnvelope({ gossip, relay, relayAnswer, news, ask, delta }: Envelope): Message {
  if (gossip !== null) return { kind: 'gossip', payload: gossip };
  if (relay !== null) return { kind: 'forwarded_heartbeat', payload: relay };
  if (relayAnswer !== null) return { kind: 'forwarded_heartbeat_answer', payload: relayAnswer };
  if (news !== null) return { kind: 'record_delta', payload: news };
  if (ask !== null) return { kind: 'delta_request', payload: ask };
  if (delta !== null) return { kind: 'replica_delta', payload: delta };
  throw new MessageDecodeError('peer message', 'its envelope is empty');
}

/** What the receiver of a message can decode. */
export interface ReceiverAbilities {
  /** Whether it decodes counts above 2^53; controllers of earlier versions reject a message with such a count. */
  readsLargeCounts: boolean;
}

/** Controllers of earlier versions. */
export const EARLIER_VERSION: ReceiverAbilities = { readsLargeCounts: false };

/** Encoded messages, so that a message to several peers is encoded once. */
const encodedMessages = new WeakMap<Message, Buffer>();

/**
 * Encodes a message. It must not be modified afterwards, since its bytes are cached for the next peer. Throws
 * `MessageEncodeError` if the receiver could not decode it, or if a value has no encoding.
 */
export function encodeMessage(message: Message, receiver: ReceiverAbilities = EARLIER_VERSION): Buffer {
  const known = encodedMessages.get(message);
  if (known !== undefined) return known;
  if (message.kind === 'standby_stream') return cacheBytes(message, encodeStreamMessage(message.payload));
  const envelope = toEnvelope(message);
  try {
    return cacheBytes(message, envelopeType.toBuffer(envelope));
  } catch (error) {
    return encodeLargeCounts(message, receiver, error);
  }
}

function cacheBytes(message: Message, bytes: Buffer): Buffer {
  encodedMessages.set(message, bytes);
  return bytes;
}

/** Encodes a message that the usual type does not encode. */
function encodeLargeCounts(
  message: Exclude<Message, { kind: 'standby_stream' }>,
  { readsLargeCounts }: ReceiverAbilities,
  cause: unknown,
): Buffer {
  try {
    if (readsLargeCounts) return exactEnvelopeType.toBuffer(toEnvelope(message));
    if (message.kind === 'gossip') return envelopeType.toBuffer({ gossip: withoutLargeCounts(message.payload) });
  } catch (error) {
    throw new MessageEncodeError(message.kind, { cause: error });
  }
  throw new MessageEncodeError(message.kind, { cause });
}

/** Decodes a message; throws if the bytes are not a valid message. */
export function decodeMessage(bytes: Buffer): Message {
  if (isStreamMessage(bytes)) return { kind: 'standby_stream', payload: decodeStreamMessage(bytes) };
  return fromEnvelope(decodeEnvelope(bytes));
}

function decodeEnvelope(bytes: Buffer): Envelope {
  const envelope = decodeUsualEnvelope(bytes);
  const isExact = envelope !== undefined && !countsOf(envelope).some(isMisread);
  return isExact ? envelope : (exactEnvelopeType.fromBuffer(bytes) as Envelope);
}

/** Returns undefined if the usual type can't decode the bytes. */
function decodeUsualEnvelope(bytes: Buffer): Envelope | undefined {
  try {
    return envelopeType.fromBuffer(bytes) as Envelope;
  } catch {
    return undefined;
  }
}

/** The counts in a message that may be above 2^53. */
function countsOf({ gossip, news, ask, delta }: Envelope): Count[] {
  return [
    ...(gossip === null ? [] : gossip.unchanged.sequences),
    ...(gossip?.machines ?? []).flatMap(({ agentEpoch, sequence }) => [agentEpoch, sequence]),
    ...[...(news?.changes ?? []), ...(delta?.changes ?? [])].map(({ modRevision }) => modRevision),
    ...(ask === null ? [] : [ask.fromRevision, ask.afterRevision]),
    ...(delta === null ? [] : [delta.fromRevision, delta.afterRevision, delta.lastRevision, delta.completeRevision]),
  ];
}
