/** Messages of the stream between a leader and the controllers that follow it. Their encoding is in src/gossip/stream-codec.ts. */

/** See docs/standby.md, "What is followed". The order is part of the encoding. */
export const ADVISORY_KINDS = ['health', 'moved', 'stopping', 'idle', 'no_capacity'] as const;
/** What an entry is about. */
export type AdvisoryKind = (typeof ADVISORY_KINDS)[number];

/** One thing that a controller remembers beside the records. */
export interface AdvisoryEntry {
  readonly kind: AdvisoryKind;
  /** Name of the task, attempt, machine or offer. */
  readonly name: string;
  /** Steady ms of the reader's own clock. */
  readonly at: number;
  /** Checks of a `health` entry; 0 in all others. */
  readonly healthy: number;
  readonly unhealthy: number;
}

/** An entry as it is sent: moments become ages, since the steady clocks of two processes are unrelated. */
export interface SentEntry extends Omit<AdvisoryEntry, 'at'> {
  readonly ageMs: number;
  readonly isRemoved: boolean;
}

/** A moment of a process's own clock, with the incarnation of that process. */
export interface ClockEcho {
  readonly incarnation: number;
  readonly clock: number;
}

/** Asks a leader for what changed, and tells how far the follower has come. */
export interface FollowRequest {
  readonly node: string;
  /** The follower's incarnation, and its steady clock, ms, when it sent the request. */
  readonly incarnation: number;
  readonly clock: number;
  /** The leader's incarnation whose changes are known up to `upTo`; 0: none. */
  readonly followedIncarnation: number;
  readonly upTo: number;
}

/** One part of an update, which is a set of changes or a snapshot. */
export interface StreamBatch {
  readonly node: string;
  readonly incarnation: number;
  /** The sequence number that it builds on; in all parts of a snapshot 0. */
  readonly after: number;
  /** The sequence number that the update leads to, with all its parts. */
  readonly upTo: number;
  readonly isSnapshot: boolean;
  readonly part: number;
  readonly parts: number;
  readonly echo: ClockEcho;
  readonly entries: readonly SentEntry[];
}

/** A message of the stream. */
export type StreamMessage = { readonly follow: FollowRequest } | { readonly batch: StreamBatch };

/** Bytes of an entry beside its name, and of a message beside its entries: upper bounds of what the encoding takes. */
const ENTRY_BYTES = 24;
const BATCH_BYTES = 96;

/** Bytes of an entry in a message, at most. */
export const entryBytes = (entry: SentEntry): number => ENTRY_BYTES + Buffer.byteLength(entry.name);
/** Bytes of a message, at most. */
export const batchBytes = ({ entries }: StreamBatch): number =>
  entries.reduce((bytes, entry) => bytes + entryBytes(entry), BATCH_BYTES);
