import { PAGE_ROWS, TOMBSTONES_KEPT, WATCH_PAUSE_MS, WATCH_WAIT_MS } from '../constants.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { Change, StateClient } from './client.js';

export interface Stored {
  /** undefined: the key does not exist (a tombstone while older news may still come). */
  value: unknown;
  stamp: number;
}

/** A change on its way to a peer: the value as JSON; null: the key was dropped. */
export interface SentChange {
  key: string;
  value: string | null;
  stamp: number;
}

export const encodeChange = ({ key, value, stamp }: Change): SentChange => ({
  key,
  value: value === undefined ? null : JSON.stringify(value),
  stamp,
});

/** All or nothing: throws where a value can't be read. */
export const readChanges = (sent: readonly SentChange[]): Change[] =>
  sent.map(({ key, value, stamp }) => ({
    key,
    value: value === null ? undefined : (JSON.parse(value) as unknown),
    stamp,
  }));

export type Listener = (key: string, now: Stored, before: Stored | undefined) => void;

/**
 * A copy of every record under one prefix, kept up by a watch. It may lag; `freshAt` says as of when it is known to be
 * complete. Decisions taken on it are safe all the same, since each names the Stamps it was taken on.
 */
export class Replica {
  private rows = new Map<string, Stored>();
  private listeners: Listener[] = [];
  /** Dropped keys, oldest first: what peers' copies may not know yet. */
  private tombstones: { key: string; stamp: number }[] = [];
  /** Drops up to this revision are no longer known here. */
  private floor = 0;
  private refreshing: Promise<boolean> | undefined;
  /** The copy is complete up to this revision; of later ones it holds some. */
  epoch = 0;
  /** How many changes the copy has taken in: another number shows that it may hold more. */
  version = 0;
  loaded = false;
  /** Steady ms of the sending of the last request whose answer showed the replica complete. */
  freshAt = -Infinity;

  constructor(
    private readonly client: StateClient,
    private readonly prefix: string,
    private readonly clock: Clock,
    /** ms between two watches. */
    private readonly pauseMs: () => number = () => WATCH_PAUSE_MS,
  ) {}

  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  get(key: string): Stored {
    const row = this.rows.get(key);
    return row === undefined || row.value === undefined ? { value: undefined, stamp: 0 } : row;
  }

  /** Takes in one change unless a newer one is known: late copies of old news must not bring back old values. */
  apply(change: Change): void {
    const before = this.rows.get(change.key);
    if (before !== undefined && before.stamp >= change.stamp) return;
    const now = { value: change.value, stamp: change.stamp };
    this.rows.set(change.key, now);
    this.version++;
    if (change.value === undefined) this.tombstones.push({ key: change.key, stamp: change.stamp });
    for (const listener of this.listeners) listener(change.key, now, before);
  }

  /**
   * Takes in what a peer's transaction has just changed. What the copy is complete beyond is old news, perhaps held back by
   * a cut: a record dropped since would come to life again by it.
   */
  hear(change: Change): void {
    if (this.loaded && change.stamp > this.epoch) this.apply(change);
  }

  /** All changes up to the revision have been taken in, from the store or from a copy that held them. */
  completeTo(epoch: number): void {
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    this.forgetDrops();
  }

  /** Old news of a dropped key is told by its Stamp, once the copy is complete beyond it. */
  private forgetDrops(): void {
    let count = 0;
    while (this.tombstones.length - count > TOMBSTONES_KEPT && this.tombstones[count]!.stamp <= this.epoch) {
      const { key, stamp } = this.tombstones[count++]!;
      this.floor = Math.max(this.floor, stamp);
      const row = this.rows.get(key);
      if (row?.value === undefined && row?.stamp === stamp) this.rows.delete(key);
    }
    if (count > 0) this.tombstones.splice(0, count);
  }

  /**
   * What the copy holds that is newer than the revision `after`, oldest first, as far as the bytes allow; `last` is the
   * revision to go on after, and with `whole` there is no more.
   */
  since(after: number, maxBytes: number): { changes: SentChange[]; last: number; whole: boolean } {
    const rows = [...this.rows].filter(([, { stamp }]) => stamp > after).sort(([, a], [, b]) => a.stamp - b.stamp);
    const changes: SentChange[] = [];
    let bytes = 0;
    let last = after;
    for (const [key, { value, stamp }] of rows) {
      const change = encodeChange({ key, value, stamp });
      bytes += key.length + (change.value?.length ?? 0) + 16;
      // All changes of a revision go together.
      if (bytes > maxBytes && changes.length > 0 && stamp > last) return { changes, last, whole: false };
      changes.push(change);
      last = stamp;
    }
    return { changes, last, whole: true };
  }

  /** Up to which revision a copy is complete that was so up to `from` and has taken in all that this one holds since. */
  completeFrom(from: number): number {
    // Of drops that are forgotten here it has not heard.
    return from < this.floor ? from : Math.max(from, this.epoch);
  }

  /** Takes in what a peer's copy holds. */
  takeIn(changes: readonly Change[]): void {
    for (const change of changes) this.hear(change);
  }

  /** Reads all records; what is no longer there is dropped. */
  async load(): Promise<void> {
    const sentAt = this.clock.now();
    const seen = new Set<string>();
    let from: string | undefined;
    let first = 0;
    for (;;) {
      const page = await this.client.list(this.prefix, from, PAGE_ROWS, Priority.hold);
      if (from === undefined) first = page.epoch;
      for (const row of page.rows) {
        seen.add(row.key);
        this.apply(row);
      }
      if (!page.more || page.rows.length === 0) break;
      from = page.rows[page.rows.length - 1]!.key;
    }
    for (const [key, row] of this.rows) {
      if (!seen.has(key) && row.value !== undefined && row.stamp <= first) {
        this.apply({ key, value: undefined, stamp: first });
      }
    }
    this.epoch = Math.max(this.epoch, first);
    // Drops before it have not been seen here.
    this.floor = Math.max(this.floor, first);
    this.loaded = true;
    this.freshAt = Math.max(this.freshAt, sentAt);
  }

  /** Asks for all that is new, without waiting; shared by all who ask at once. */
  refresh(): Promise<boolean> {
    this.refreshing ??= this.pull(0).finally(() => (this.refreshing = undefined));
    return this.refreshing;
  }

  private async pull(waitMs: number): Promise<boolean> {
    if (!this.loaded) return false;
    const sentAt = this.clock.now();
    try {
      const news = await this.client.watch(
        this.prefix,
        this.epoch,
        waitMs,
        waitMs === 0 ? Priority.hold : Priority.record,
      );
      if (news === undefined) {
        await this.load();
        return true;
      }
      for (const change of news.changes) this.apply(change);
      this.completeTo(news.epoch);
      this.freshAt = Math.max(this.freshAt, sentAt);
      return true;
    } catch {
      return false;
    }
  }

  /** The routine that keeps the replica up. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.loaded) {
        await this.load().catch(() => undefined);
        if (!this.loaded) await this.clock.sleep(300, signal);
        continue;
      }
      const ok = await this.pull(WATCH_WAIT_MS);
      await this.clock.sleep(ok ? this.pauseMs() : 500, signal);
    }
  }
}
