/**
 * Encodes messages between controllers as an Avro envelope with one optional field for each kind. Controllers of two versions run
 * side by side during a deployment, so the encoding must not change: it depends on the order and types of the fields, not on their
 * names.
 */
import avro from 'avsc';

import { arrayOf, nullable, record } from './avro-record.js';
import { MessageDecodeError } from './message-decode-error.js';
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

const machineUpdateSchema = record('MachineUpdate', {
  machineId: 'string',
  number: 'long',
  endpoint: 'string',
  machineType: 'string',
  zone: 'string',
  isSpot: 'boolean',
  agentEpoch: 'long',
  sequence: 'long',
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

const gossipSchema = record('Gossip', {
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
  machines: arrayOf(machineUpdateSchema),
  unchanged: record('UnchangedMachines', {
    numbers: arrayOf('long'),
    heartbeatAgesMs: arrayOf('long'),
    sequences: arrayOf('long'),
  }),
  misroutedHeartbeats: arrayOf(record('MisroutedHeartbeat', { machineId: 'string', ageMs: 'double' })),
  avoidedRoles: arrayOf('string'),
  terminatedMachines: arrayOf('string'),
});

const recordChangeSchema = record('RecordChange', { key: 'string', value: nullable('string'), modRevision: 'long' });

const replicaDeltaSchema = record('Delta', {
  node: 'string',
  incarnation: 'long',
  version: 'long',
  fromRevision: 'long',
  afterRevision: 'long',
  lastRevision: 'long',
  isComplete: 'boolean',
  completeRevision: 'long',
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

const envelopeSchemas: Record<keyof Envelope, avro.Schema> = {
  gossip: gossipSchema,
  relay: record('ForwardedHeartbeat', { node: 'string', id: 'long', status: 'string' }),
  relayAnswer: record('RelayAnswer', { node: 'string', id: 'long', status: 'int', body: 'string' }),
  news: record('News', { changes: arrayOf(recordChangeSchema) }),
  ask: record('Ask', { node: 'string', fromRevision: 'long', afterRevision: 'long' }),
  delta: replicaDeltaSchema,
};

const envelopeType = avro.Type.forSchema({
  type: 'record',
  name: 'Envelope',
  namespace: 'dewlatch.mesh.v3',
  fields: Object.entries(envelopeSchemas).map(([name, schema]) => ({ name, type: nullable(schema), default: null })),
});

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

/** Encoded messages, so that a message to several peers is encoded once. */
const encodedMessages = new WeakMap<Message, Buffer>();

/** Encodes a message. It must not be modified afterwards, since its bytes are cached for the next peer. */
export function encodeMessage(message: Message): Buffer {
  const known = encodedMessages.get(message);
  if (known !== undefined) return known;
  const isStream = message.kind === 'standby_stream';
  const bytes = isStream ? encodeStreamMessage(message.payload) : envelopeType.toBuffer(toEnvelope(message));
  encodedMessages.set(message, bytes);
  return bytes;
}

/** Decodes a message; throws if the bytes are not a valid message. */
export function decodeMessage(bytes: Buffer): Message {
  if (isStreamMessage(bytes)) return { kind: 'standby_stream', payload: decodeStreamMessage(bytes) };
  return fromEnvelope(envelopeType.fromBuffer(bytes) as Envelope);
}
