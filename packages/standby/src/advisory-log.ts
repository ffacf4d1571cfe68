/**
 * In-memory state of a controller that is not in the records but useful to a successor. Entries are keyed by kind and name; each
 * has the sequence number of its last change, so a lagging follower is sent each changed entry only once, and memory does not
 * grow with its lag.
 */
import type { AdvisoryEntry, AdvisoryKind, SentEntry } from './stream-messages.js';

interface LoggedEntry {
  readonly entry: AdvisoryEntry;
  readonly sequence: number;
}

/** Memory limits of an advisory log. */
export interface AdvisoryLimits {
  /** Maximum number of entries; the oldest are dropped first. */
  readonly entries: number;
  /** Maximum number of removals kept; a follower that lags further needs a snapshot. */
  readonly removals: number;
}

const DEFAULT_ADVISORY_LIMITS: AdvisoryLimits = { entries: 4096, removals: 1024 };

/** Key of an entry: kind and name, separated by a space, which no kind contains. */
export const advisoryKeyOf = (kind: AdvisoryKind, name: string): string => `${kind} ${name}`;

/** The advisory state of this process; serves all its followers. */
export class AdvisoryLog {
  /** Ordered by last change, oldest first. */
  private readonly entries = new Map<string, LoggedEntry>();
  /** Sequence number of each removal, oldest first. */
  private readonly removals = new Map<string, number>();
  /** Removals up to this sequence number have been discarded. */
  private compactedUpTo = 0;
  private lastSequence = 0;

  constructor(
    /** Monotonic ms. */
    private readonly now: () => number,
    private readonly limits: AdvisoryLimits = DEFAULT_ADVISORY_LIMITS,
  ) {}

  /** Sequence number of the last change. */
  get sequence(): number {
    return this.lastSequence;
  }

  /** Current number of entries. */
  get size(): number {
    return this.entries.size;
  }

  /** Sets an entry; an entry equal to the current one does not count as a change. */
  put(entry: AdvisoryEntry): void {
    const key = advisoryKeyOf(entry.kind, entry.name);
    const before = this.entries.get(key)?.entry;
    if (before !== undefined && isUnchanged(before, entry)) return;
    this.entries.delete(key);
    this.removals.delete(key);
    this.entries.set(key, { entry, sequence: ++this.lastSequence });
    if (this.entries.size > this.limits.entries) this.removeKey(this.entries.keys().next().value!);
  }

  /** Replaces all entries of a kind. */
  replace(kind: AdvisoryKind, entries: Iterable<AdvisoryEntry>): void {
    const names = new Set<string>();
    for (const entry of entries) {
      names.add(advisoryKeyOf(kind, entry.name));
      this.put(entry);
    }
    for (const [key, { entry }] of this.entries) if (entry.kind === kind && !names.has(key)) this.removeKey(key);
  }

  private removeKey(key: string): void {
    if (!this.entries.delete(key)) return;
    this.removals.set(key, ++this.lastSequence);
    if (this.removals.size <= this.limits.removals) return;
    const [oldest, sequence] = this.removals.entries().next().value!;
    this.removals.delete(oldest);
    this.compactedUpTo = sequence;
  }

  /** Whether all changes after the sequence number are available; otherwise a follower at that number needs a snapshot. */
  retainsChangesSince(sequence: number): boolean {
    return sequence >= this.compactedUpTo && sequence <= this.lastSequence;
  }

  /** Changes after the sequence number, oldest first. */
  changesSince(sequence: number): { entry: SentEntry; sequence: number }[] {
    const now = this.now();
    const changed: { entry: SentEntry; sequence: number }[] = [];
    for (const { entry, sequence: changeSequence } of this.entries.values()) {
      if (changeSequence > sequence)
        changed.push({ entry: { ...toSentEntry(entry, now), isRemoved: false }, sequence: changeSequence });
    }
    for (const [key, removalSequence] of this.removals) {
      if (removalSequence > sequence) changed.push({ entry: toSentRemoval(key), sequence: removalSequence });
    }
    return changed.sort((a, b) => a.sequence - b.sequence);
  }
}

/** Times that differ by less than 1 ms count as equal. */
const isUnchanged = (a: AdvisoryEntry, b: AdvisoryEntry): boolean =>
  Math.abs(a.at - b.at) < 1 && a.healthy === b.healthy && a.unhealthy === b.unhealthy;

const toSentEntry = ({ kind, name, at, healthy, unhealthy }: AdvisoryEntry, now: number) => ({
  kind,
  name,
  ageMs: Math.max(0, Math.round(now - at)),
  healthy,
  unhealthy,
});

function toSentRemoval(key: string): SentEntry {
  const space = key.indexOf(' ');
  const kind = key.slice(0, space) as AdvisoryKind;
  return { kind, name: key.slice(space + 1), ageMs: 0, healthy: 0, unhealthy: 0, isRemoved: true };
}
