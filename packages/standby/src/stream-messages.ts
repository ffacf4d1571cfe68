/** What goes between a controller and those that follow it. */

/** See docs/standby.md, "What is followed". */
export const ADVISORY_KINDS = ['health', 'moved', 'stopping', 'idle', 'no_capacity'] as const;
export type AdvisoryKind = (typeof ADVISORY_KINDS)[number];

export interface AdvisoryEntry {
  readonly kind: AdvisoryKind;
  /** Of the task, attempt, machine or offer. */
  readonly name: string;
  /** Steady ms of the reader's own clock. */
  readonly at: number;
  /** Checks of a `health` entry; 0 in all others. */
  readonly healthy: number;
  readonly unhealthy: number;
}

/** An entry on its way: moments become ages, since two clocks have nothing to do with each other. */
export interface SentEntry extends Omit<AdvisoryEntry, 'at'> {
  readonly ageMs: number;
  readonly isRemoved: boolean;
}

/** A moment of a process's own clock, with the life of the process whose clock it is. */
export interface ClockEcho {
  readonly incarnation: number;
  readonly clock: number;
}

/** Asks a holder for what changed, and tells how far the follower has come. */
export interface FollowRequest {
  readonly node: string;
  /** The follower's process, and its clock when it asked. */
  readonly incarnation: number;
  readonly clock: number;
  /** The holder's process whose changes are known up to `upTo`; 0: none. */
  readonly followedIncarnation: number;
  readonly upTo: number;
}

/** A part of what changed. */
export interface StreamBatch {
  readonly node: string;
  readonly incarnation: number;
  /** The number that it builds on; in all parts of a snapshot 0. */
  readonly after: number;
  /** The number that it leads to, with all its parts. */
  readonly upTo: number;
  readonly isSnapshot: boolean;
  readonly part: number;
  readonly parts: number;
  readonly echo: ClockEcho;
  readonly entries: readonly SentEntry[];
}

export type StreamMessage = { readonly follow: FollowRequest } | { readonly batch: StreamBatch };

/** Bytes of an entry beside its name, and of a message beside its entries, no less than what the encoding takes. */
const ENTRY_BYTES = 24;
const BATCH_BYTES = 96;

export const entryBytes = (entry: SentEntry): number => ENTRY_BYTES + Buffer.byteLength(entry.name);
export const batchBytes = ({ entries }: StreamBatch): number =>
  entries.reduce((bytes, entry) => bytes + entryBytes(entry), BATCH_BYTES);
