import avro from 'avsc';
import type { StreamMessage } from '@dewlatch/standby';
import type { SerializedChange } from '../store/replica.js';
import type { MachineState } from '../domain/machine-state.js';
import { record } from './avro-record.js';
import { decodeStreamMessage, encodeStreamMessage, isStreamMessage } from './stream-codec.js';

/** What each controller tells the others every second. */
export interface Gossip {
  node: string;
  /** ms since the node read the store for the first time; 0: not yet. */
  upMs: number;
  /** ms since the store last confirmed the node's copy; the sender's clock. */
  freshAgeMs: number;
  /** The store refuses, or doesn't answer, this node. */
  isWithoutStore: boolean;
  /** The sender's steady clock, ms, and the receiver's as it last told it, with the life that told it. */
  clock: number;
  echo: { incarnation: number; clock: number } | null;
  /** The sender's process has read the store. */
  isLoaded: boolean;
  /** How many changes the sender's copy has taken in. */
  version: number;
  /** Nodes that the sender hears just now: what they own need not be passed on to it. */
  reachablePeers: string[];
  /** Tells the sender's process from its former lives; messages to one peer are counted. */
  incarnation: number;
  messageNumber: number;
  /** Nothing that was told before is needed to understand this. */
  isSnapshot: boolean;
  /** The sender has missed something that the receiver told it, and wants to be told all. */
  wantsSnapshot: boolean;
  /** What has changed. */
  machines: MachineUpdate[];
  /** Machines of the sender's of which nothing has changed since it was told, but that they were heard. */
  unchanged: { numbers: number[]; heardAgesMs: number[]; sequences: number[] };
  /** Workers that asked, here or at a node heard of, though another node owns them. */
  misroutedHeartbeats: { machineId: string; ageMs: number }[];
  /** Roles that the node does not want for now, since the workers can't reach it. */
  avoidedRoles: string[];
  /** Machines that the cloud has lately confirmed gone. */
  terminated: string[];
}

export interface MachineUpdate extends MachineState {
  /** By which the sender speaks of it from now on; -1: not at all. */
  number: number;
  heardAgeMs: number;
  /** ms since the machine's owner said this; 0 from the owner itself. */
  knownAgeMs: number;
  /** ms until the cloud takes it, or null. */
  spotNoticeMs: number | null;
}

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

/** A worker's report that came to a node which does not own it, on behalf of a worker that can't reach its owner. */
export interface ForwardedHeartbeat {
  node: string;
  id: number;
  /** The report, JSON as the worker sent it. */
  status: string;
}

/** The owner's answer to a relayed report. */
export interface ForwardedHeartbeatAnswer {
  node: string;
  id: number;
  status: number;
  /** JSON for the worker. */
  body: string;
}

/** Records as a transaction of the sender's has just left them in the store: known sooner than by a watch. */
export interface RecordDelta {
  changes: SerializedChange[];
}

/** Asks for all that has changed since the sender's copy was complete, when the store can't be asked. */
export interface DeltaRequest {
  node: string;
  /** The revision up to which the sender's copy is complete. */
  from: number;
  /** The revision up to which it has been told what the receiver holds since: more than one message may be needed. */
  after: number;
}

/** What the sender's copy holds since the revision that was asked for. */
export interface ReplicaDelta {
  node: string;
  incarnation: number;
  version: number;
  from: number;
  after: number;
  /** The revision of the last change. */
  last: number;
  /** False: there is more after `last`. */
  isComplete: boolean;
  /** With all of it, a copy that was complete up to `from` is complete up to here. */
  upTo: number;
  changes: SerializedChange[];
}

export type Message =
  | { gossip: Gossip }
  | { relay: ForwardedHeartbeat }
  | { relayAnswer: ForwardedHeartbeatAnswer }
  | { news: RecordDelta }
  | { ask: DeltaRequest }
  | { delta: ReplicaDelta }
  /** Only to peers that have said in the store that they read it. */
  | { stream: StreamMessage };

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
