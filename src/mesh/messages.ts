import avro from 'avsc';
import type { StreamMessage } from '@dewlatch/standby';
import type { SentChange } from '../state/replica.js';
import type { MachineState } from '../workers/machine-state.js';
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
  withoutStore: boolean;
  /** The sender's steady clock, ms, and the receiver's as it last told it, with the life that told it. */
  clock: number;
  echo: { life: number; clock: number } | null;
  /** The sender's process has read the store. */
  loaded: boolean;
  /** How many changes the sender's copy has taken in. */
  version: number;
  /** Nodes that the sender hears just now: what they own need not be passed on to it. */
  hears: string[];
  /** Tells the sender's process from its former lives; messages to one peer are counted. */
  life: number;
  seq: number;
  /** Nothing that was told before is needed to understand this. */
  whole: boolean;
  /** The sender has missed something that the receiver told it, and wants to be told all. */
  wants: boolean;
  /** What has changed. */
  machines: MachineNews[];
  /** Machines of the sender's of which nothing has changed since it was told, but that they were heard. */
  same: { numbers: number[]; heardAgesMs: number[]; ticks: number[] };
  /** Workers that asked, here or at a node heard of, though another node owns them. */
  knocks: { host: string; ageMs: number }[];
  /** Roles that the node does not want for now, since the workers can't reach it. */
  avoids: string[];
  /** Machines that the cloud has lately confirmed gone. */
  gone: string[];
}

export interface MachineNews extends MachineState {
  /** By which the sender speaks of it from now on; -1: not at all. */
  number: number;
  heardAgeMs: number;
  /** ms since the machine's owner said this; 0 from the owner itself. */
  knownAgeMs: number;
  /** ms until the cloud takes it, or null. */
  warnedMs: number | null;
}

const gossipSchema: avro.Schema = {
  type: 'record',
  name: 'Gossip',
  fields: [
    { name: 'node', type: 'string' },
    { name: 'upMs', type: 'double' },
    { name: 'freshAgeMs', type: 'double' },
    { name: 'withoutStore', type: 'boolean' },
    { name: 'clock', type: 'double' },
    {
      name: 'echo',
      type: [
        'null',
        {
          type: 'record',
          name: 'Echo',
          fields: [
            { name: 'life', type: 'long' },
            { name: 'clock', type: 'double' },
          ],
        },
      ],
    },
    { name: 'loaded', type: 'boolean' },
    { name: 'version', type: 'long' },
    { name: 'hears', type: { type: 'array', items: 'string' } },
    { name: 'life', type: 'long' },
    { name: 'seq', type: 'long' },
    { name: 'whole', type: 'boolean' },
    { name: 'wants', type: 'boolean' },
    {
      name: 'machines',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'MachineNews',
          fields: [
            { name: 'host', type: 'string' },
            { name: 'number', type: 'long' },
            { name: 'endpoint', type: 'string' },
            { name: 'flavor', type: 'string' },
            { name: 'site', type: 'string' },
            { name: 'reclaimable', type: 'boolean' },
            { name: 'tenure', type: 'long' },
            { name: 'tick', type: 'long' },
            { name: 'heardAgeMs', type: 'double' },
            { name: 'knownAgeMs', type: 'double' },
            { name: 'warnedMs', type: ['null', 'double'] },
            { name: 'sick', type: 'boolean' },
            { name: 'cooling', type: 'boolean' },
            { name: 'unreached', type: 'boolean' },
            { name: 'slow', type: 'boolean' },
            { name: 'mute', type: 'boolean' },
            { name: 'images', type: { type: 'array', items: 'string' } },
            { name: 'failedJobs', type: { type: 'array', items: 'string' } },
            { name: 'owner', type: 'string' },
          ],
        },
      },
    },
    {
      name: 'same',
      type: {
        type: 'record',
        name: 'Same',
        fields: [
          { name: 'numbers', type: { type: 'array', items: 'long' } },
          { name: 'heardAgesMs', type: { type: 'array', items: 'long' } },
          { name: 'ticks', type: { type: 'array', items: 'long' } },
        ],
      },
    },
    {
      name: 'knocks',
      type: {
        type: 'array',
        items: {
          type: 'record',
          name: 'Knock',
          fields: [
            { name: 'host', type: 'string' },
            { name: 'ageMs', type: 'double' },
          ],
        },
      },
    },
    { name: 'avoids', type: { type: 'array', items: 'string' } },
    { name: 'gone', type: { type: 'array', items: 'string' } },
  ],
};

/** A worker's report that came to a node which does not own it, on behalf of a worker that can't reach its owner. */
export interface Relay {
  node: string;
  id: number;
  /** The report, JSON as the worker sent it. */
  report: string;
}

/** The owner's answer to a relayed report. */
export interface RelayAnswer {
  node: string;
  id: number;
  status: number;
  /** JSON for the worker. */
  body: string;
}

/** Records as a transaction of the sender's has just left them in the store: known sooner than by a watch. */
export interface News {
  changes: SentChange[];
}

/** Asks for all that has changed since the sender's copy was complete, when the store can't be asked. */
export interface Ask {
  node: string;
  /** The revision up to which the sender's copy is complete. */
  from: number;
  /** The revision up to which it has been told what the receiver holds since: more than one message may be needed. */
  after: number;
}

/** What the sender's copy holds since the revision that was asked for. */
export interface Delta {
  node: string;
  life: number;
  version: number;
  from: number;
  after: number;
  /** The revision of the last change. */
  last: number;
  /** False: there is more after `last`. */
  whole: boolean;
  /** With all of it, a copy that was complete up to `from` is complete up to here. */
  upTo: number;
  changes: SentChange[];
}

export type Message =
  | { gossip: Gossip }
  | { relay: Relay }
  | { relayAnswer: RelayAnswer }
  | { news: News }
  | { ask: Ask }
  | { delta: Delta }
  /** Only to peers that have said in the store that they read it. */
  | { stream: StreamMessage };

const change = record('RecordChange', { key: 'string', value: ['null', 'string'], stamp: 'long' });

/** Exactly one of them is there. */
const kinds: Record<string, avro.Schema> = {
  gossip: gossipSchema,
  relay: record('Relay', { node: 'string', id: 'long', report: 'string' }),
  relayAnswer: record('RelayAnswer', { node: 'string', id: 'long', status: 'int', body: 'string' }),
  news: record('News', { changes: { type: 'array', items: change } }),
  ask: record('Ask', { node: 'string', from: 'long', after: 'long' }),
  delta: record('Delta', {
    ...{ node: 'string', life: 'long', version: 'long', from: 'long', after: 'long', last: 'long', whole: 'boolean' },
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
    relay: Relay | null;
    relayAnswer: RelayAnswer | null;
    news: News | null;
    ask: Ask | null;
    delta: Delta | null;
  };
  if (raw.gossip !== null) return { gossip: raw.gossip };
  if (raw.relay !== null) return { relay: raw.relay };
  if (raw.relayAnswer !== null) return { relayAnswer: raw.relayAnswer };
  if (raw.news !== null) return { news: raw.news };
  if (raw.ask !== null) return { ask: raw.ask };
  if (raw.delta !== null) return { delta: raw.delta };
  throw new Error('empty message');
}
