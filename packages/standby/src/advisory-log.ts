/**
 * What a controller remembers beside the records and would like a successor to know. Entries are kept by name; each carries the
 * number of its last change, so a follower that lags is sent every entry that changed since once, and nothing grows with its lag.
 */
import type { AdvisoryEntry, AdvisoryKind, SentEntry } from './stream-messages.js';

interface LoggedEntry {
  readonly entry: AdvisoryEntry;
  readonly sequence: number;
}

export interface AdvisoryLimits {
  /** Entries kept, the oldest go first. */
  readonly entries: number;
  /** Removals remembered; a follower that lags further needs a snapshot. */
  readonly removals: number;
}

export const DEFAULT_ADVISORY_LIMITS: AdvisoryLimits = { entries: 4096, removals: 1024 };

export const advisoryKeyOf = (kind: AdvisoryKind, name: string): string => `${kind} ${name}`;

export class AdvisoryLog {
  /** In the order of their last change, oldest first. */
  private readonly entries = new Map<string, LoggedEntry>();
  private readonly removals = new Map<string, number>();
  /** Changes up to this number are no longer known one by one. */
  private compactedUpTo = 0;
  private lastSequence = 0;

  constructor(
    /** Steady ms. */
    private readonly now: () => number,
    private readonly limits: AdvisoryLimits = DEFAULT_ADVISORY_LIMITS,
  ) {}

  /** Number of the last change. */
  get sequence(): number {
    return this.lastSequence;
  }

  get size(): number {
    return this.entries.size;
  }

  /** Sets an entry; what says the same as before is no change. */
  put(entry: AdvisoryEntry): void {
    const key = advisoryKeyOf(entry.kind, entry.name);
    const before = this.entries.get(key)?.entry;
    if (
      before !== undefined &&
      Math.abs(before.at - entry.at) < 1 &&
      before.healthy === entry.healthy &&
      before.unhealthy === entry.unhealthy
    )
      return;
    this.entries.delete(key);
    this.removals.delete(key);
    this.entries.set(key, { entry, sequence: ++this.lastSequence });
    if (this.entries.size > this.limits.entries) this.removeKey(this.entries.keys().next().value!);
  }

  /** Makes the entries of a kind these, and no others. */
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

  /** Can a follower that has come so far be told what changed since, or does it need a snapshot? */
  hasChangesSince(sequence: number): boolean {
    return sequence >= this.compactedUpTo && sequence <= this.lastSequence;
  }

  /** What changed after the number, oldest first. */
  changesSince(sequence: number): { entry: SentEntry; sequence: number }[] {
    const now = this.now();
    const changed: { entry: SentEntry; sequence: number }[] = [];
    for (const { entry, sequence: at } of this.entries.values()) {
      if (at > sequence) changed.push({ entry: { ...toSentEntry(entry, now), isRemoved: false }, sequence: at });
    }
    for (const [key, at] of this.removals) {
      if (at > sequence) changed.push({ entry: toSentRemoval(key), sequence: at });
    }
    return changed.sort((a, b) => a.sequence - b.sequence);
  }
}

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
