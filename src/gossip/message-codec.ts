import avro from 'avsc';
import { record } from './avro-record.js';
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

const gossipSchema: avro.Schema = {
  type: 'record',
  name: 'Gossip',
  fields: [
    { name: 'node', type: 'string' },
    { name: 'upMs', type: 'double' },
    { name: 'freshAgeMs', type: 'double' },
    { name: 'isWithoutStore', type: 'boolean' },
    { name: 'clock', type: 'double' },
    {
      name: 'echo',
      type: [
        'null',
        {
          type: 'record',
          name: 'Echo',
          fields: [
            { name: 'incarnation', type: 'long' },
            { name: 'clock', type: 'double' },
          ],
        },
      ],
    },
    { name: 'isLoaded', type: 'boolean' },
    { name: 'version', type: 'long' },
    { name: 'reachablePeers', type: { type: 'array', items: 'string' } },
    { name: 'incarnation', type: 'long' },
    { name: 'messageNumber', type: 'long' },
    { name: 'isSnapshot', type: 'boolean' },
    { name: 'wantsSnapshot', type: 'boolean' },
    {
      name: 'machines',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'MachineUpdate',
          fields: [
            { name: 'machineId', type: 'string' },
            { name: 'number', type: 'long' },
            { name: 'endpoint', type: 'string' },
            { name: 'machineType', type: 'string' },
            { name: 'zone', type: 'string' },
            { name: 'isSpot', type: 'boolean' },
            { name: 'agentEpoch', type: 'long' },
            { name: 'sequence', type: 'long' },
            { name: 'heardAgeMs', type: 'double' },
            { name: 'knownAgeMs', type: 'double' },
            { name: 'spotNoticeMs', type: ['null', 'double'] },
            { name: 'isQuarantined', type: 'boolean' },
            { name: 'isBackingOff', type: 'boolean' },
            { name: 'isUnreached', type: 'boolean' },
            { name: 'isSlow', type: 'boolean' },
            { name: 'isMute', type: 'boolean' },
            { name: 'images', type: { type: 'array', items: 'string' } },
            { name: 'failedJobs', type: { type: 'array', items: 'string' } },
            { name: 'partitionLeader', type: 'string' },
          ],
        },
      },
    },
    {
      name: 'unchanged',
      type: {
        type: 'record',
        name: 'UnchangedMachines',
        fields: [
          { name: 'numbers', type: { type: 'array', items: 'long' } },
          { name: 'heardAgesMs', type: { type: 'array', items: 'long' } },
          { name: 'sequences', type: { type: 'array', items: 'long' } },
        ],
      },
    },
    {
      name: 'misroutedHeartbeats',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'MisroutedHeartbeat',
          fields: [
            { name: 'machineId', type: 'string' },
            { name: 'ageMs', type: 'double' },
          ],
        },
      },
    },
    { name: 'avoidedRoles', type: { type: 'array', items: 'string' } },
    { name: 'terminated', type: { type: 'array', items: 'string' } },
  ],
};

const change = record('RecordChange', { key: 'string', value: ['null', 'string'], modRevision: 'long' });

/** Exactly one of them is there. */
const kinds: Record<string, avro.Schema> = {
  gossip: gossipSchema,
  relay: record('ForwardedHeartbeat', { node: 'string', id: 'long', status: 'string' }),
  relayAnswer: record('RelayAnswer', { node: 'string', id: 'long', status: 'int', body: 'string' }),
  news: record('News', { changes: { type: 'array', items: change } }),
  ask: record('Ask', { node: 'string', from: 'long', after: 'long' }),
  delta: record('Delta', {
    ...{
      node: 'string',
      incarnation: 'long',
      version: 'long',
      from: 'long',
      after: 'long',
      last: 'long',
      isComplete: 'boolean',
    },
    upTo: 'long',
    changes: { type: 'array', items: 'RecordChange' },
  }),
};

const envelope = avro.Type.forSchema({
  type: 'record',
  name: 'Envelope',
  namespace: 'dewlatch.mesh.v3',
  fields: Object.entries(kinds).map(([name, schema]) => ({ name, type: ['null', schema], default: null })),
} as avro.Schema);

const encoded = new WeakMap<Message, Buffer>();

/** What goes to several peers is encoded once. */
export function encodeMessage(message: Message): Buffer {
  let bytes = encoded.get(message);
  if (bytes !== undefined) return bytes;
  bytes = 'stream' in message ? encodeStreamMessage(message.stream) : envelope.toBuffer(message);
  encoded.set(message, bytes);
  return bytes;
}

/** Throws when the bytes are not a message. */
export function decodeMessage(bytes: Buffer): Message {
  if (isStreamMessage(bytes)) return { stream: decodeStreamMessage(bytes) };
  const raw = envelope.fromBuffer(bytes) as {
    gossip: Gossip | null;
    relay: ForwardedHeartbeat | null;
    relayAnswer: ForwardedHeartbeatAnswer | null;
    news: RecordDelta | null;
    ask: DeltaRequest | null;
    delta: ReplicaDelta | null;
  };
  if (raw.gossip !== null) return { gossip: raw.gossip };
  if (raw.relay !== null) return { relay: raw.relay };
  if (raw.relayAnswer !== null) return { relayAnswer: raw.relayAnswer };
  if (raw.news !== null) return { news: raw.news };
  if (raw.ask !== null) return { ask: raw.ask };
  if (raw.delta !== null) return { delta: raw.delta };
  throw new Error('empty message');
}
