/** Messages of the advisory stream between a leader and its followers. Their encoding is in src/gossip/stream-codec.ts. */

/** Kinds of advisory entries; docs/standby.md, "What is followed", describes them. The order is part of the encoding. */
export const ADVISORY_KINDS = ['health', 'moved', 'stopping', 'idle', 'no_capacity'] as const;
/** What an entry states about the task, attempt, machine or offer that it names. */
export type AdvisoryKind = (typeof ADVISORY_KINDS)[number];

/** One entry of the in-memory state of a controller that is not in the records. */
export interface AdvisoryEntry {
  readonly kind: AdvisoryKind;
  /** Name of the task, attempt, machine or offer that the entry describes. */
  readonly name: string;
  /** Monotonic ms on the clock of the process that holds the entry. */
  readonly at: number;
  /** Number of checks of a `health` entry; 0 in all others. */
  readonly healthy: number;
  readonly unhealthy: number;
}

/** An entry as sent: with its age in place of a time, since the monotonic clocks of two processes are unrelated. */
export interface SentEntry extends Omit<AdvisoryEntry, 'at'> {
  readonly ageMs: number;
  readonly isRemoved: boolean;
}

/** A time on a process's own clock, with the incarnation of that process. */
export interface ClockEcho {
  readonly incarnation: number;
  readonly clock: number;
}

/** Requests changes from a leader, and acknowledges what the follower has applied. */
export interface FollowRequest {
  readonly node: string;
  /** The follower's incarnation, and its monotonic clock, ms, when it sent the request. */
  readonly incarnation: number;
  readonly clock: number;
  /** The leader's incarnation whose changes the follower has applied up to `upTo`; 0: none. */
  readonly followedIncarnation: number;
  readonly upTo: number;
}

/** One part of an update; an update is either a set of changes or a snapshot. */
export interface StreamBatch {
  readonly node: string;
  readonly incarnation: number;
  /** The sequence number that the update builds on; 0 in all parts of a snapshot. */
  readonly after: number;
  /** The sequence number reached when all parts of the update are applied. */
  readonly upTo: number;
  readonly isSnapshot: boolean;
  readonly part: number;
  readonly parts: number;
  readonly echo: ClockEcho;
  readonly entries: readonly SentEntry[];
}

/** A message of the advisory stream. */
export type StreamMessage = { readonly follow: FollowRequest } | { readonly batch: StreamBatch };

/** Upper bounds of the encoded bytes of an entry without its name, and of a message without its entries. */
const ENTRY_BYTES = 24;
const BATCH_BYTES = 96;

/** Upper bound of the encoded bytes of an entry. */
export const entryBytes = (entry: SentEntry): number => ENTRY_BYTES + Buffer.byteLength(entry.name);
/** Upper bound of the encoded bytes of a message. */
export const batchBytes = ({ entries }: StreamBatch): number =>
  entries.reduce((bytes, entry) => bytes + entryBytes(entry), BATCH_BYTES);
