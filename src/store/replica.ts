import { PAGE_ROWS, TOMBSTONES_KEPT, WATCH_PAUSE_MS, WATCH_WAIT_MS } from '../constants/store.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { Change } from './store-wire-codec.js';
import type { StoreClient } from './store-client.js';

export interface StoredValue {
  /** undefined: the key does not exist (a tombstone while older news may still come). */
  value: unknown;
  modRevision: number;
}

/** A change on its way to a peer: the value as JSON; null: the key was dropped. */
export interface SerializedChange {
  key: string;
  value: string | null;
  modRevision: number;
}

export const serializeChange = ({ key, value, modRevision }: Change): SerializedChange => ({
  key,
  value: value === undefined ? null : JSON.stringify(value),
  modRevision,
});

/** All or nothing: throws where a value can't be read. */
export const deserializeChanges = (sent: readonly SerializedChange[]): Change[] =>
  sent.map(({ key, value, modRevision }) => ({
    key,
    value: value === null ? undefined : (JSON.parse(value) as unknown),
    modRevision,
  }));

export type Listener = (key: string, now: StoredValue, before: StoredValue | undefined) => void;

/**
 * A copy of every record under one prefix, kept up by a watch. It may lag; `freshAt` says as of when it is known to be
 * complete. Decisions taken on it are safe all the same, since each names the Stamps it was taken on.
 */
export class Replica {
  private rows = new Map<string, StoredValue>();
  private listeners: Listener[] = [];
  /** Dropped keys, oldest first: what peers' copies may not know yet. */
  private tombstones: { key: string; modRevision: number }[] = [];
  /** Drops up to this revision are no longer known here. */
  private compactedRevision = 0;
  private refreshing: Promise<boolean> | undefined;
  /** The copy is complete up to this revision; of later ones it holds some. */
  revision = 0;
  /** How many changes the copy has taken in: another number shows that it may hold more. */
  version = 0;
  isLoaded = false;
  /** Steady ms of the sending of the last request whose answer showed the replica complete. */
  freshAt = -Infinity;

  constructor(
    private readonly client: StoreClient,
    private readonly prefix: string,
    private readonly clock: Clock,
    /** ms between two watches. */
    private readonly watchPauseMs: () => number = () => WATCH_PAUSE_MS,
  ) {}

  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  get(key: string): StoredValue {
    const row = this.rows.get(key);
    return row === undefined || row.value === undefined ? { value: undefined, modRevision: 0 } : row;
  }

  /** Takes in one change unless a newer one is known: late copies of old news must not bring back old values. */
  apply(change: Change): void {
    const before = this.rows.get(change.key);
    if (before !== undefined && before.modRevision >= change.modRevision) return;
    const now = { value: change.value, modRevision: change.modRevision };
    this.rows.set(change.key, now);
    this.version++;
    if (change.value === undefined) this.tombstones.push({ key: change.key, modRevision: change.modRevision });
    for (const listener of this.listeners) listener(change.key, now, before);
  }

  /**
   * Takes in what a peer's transaction has just changed. What the copy is complete beyond is old news, perhaps held back by
   * a cut: a record dropped since would come to life again by it.
   */
  applyFromPeer(change: Change): void {
    if (this.isLoaded && change.modRevision > this.revision) this.apply(change);
  }

  /** All changes up to the revision have been taken in, from the store or from a copy that held them. */
  completeTo(revision: number): void {
    if (revision <= this.revision) return;
    this.revision = revision;
    this.compactTombstones();
  }

  /** Old news of a dropped key is told by its Stamp, once the copy is complete beyond it. */
  private compactTombstones(): void {
    let count = 0;
    while (this.tombstones.length - count > TOMBSTONES_KEPT && this.tombstones[count]!.modRevision <= this.revision) {
      const { key, modRevision } = this.tombstones[count++]!;
      this.compactedRevision = Math.max(this.compactedRevision, modRevision);
      const row = this.rows.get(key);
      if (row?.value === undefined && row?.modRevision === modRevision) this.rows.delete(key);
    }
    if (count > 0) this.tombstones.splice(0, count);
  }

  /**
   * What the copy holds that is newer than the revision `after`, oldest first, as far as the bytes allow; `last` is the
   * revision to go on after, and with `whole` there is no more.
   */
  changesSince(after: number, maxBytes: number): { changes: SerializedChange[]; last: number; isComplete: boolean } {
    const rows = [...this.rows]
      .filter(([, { modRevision }]) => modRevision > after)
      .sort(([, a], [, b]) => a.modRevision - b.modRevision);
    const changes: SerializedChange[] = [];
    let bytes = 0;
    let last = after;
    for (const [key, { value, modRevision }] of rows) {
      const change = serializeChange({ key, value, modRevision });
      bytes += key.length + (change.value?.length ?? 0) + 16;
      // All changes of a revision go together.
      if (bytes > maxBytes && changes.length > 0 && modRevision > last) return { changes, last, isComplete: false };
      changes.push(change);
      last = modRevision;
    }
    return { changes, last, isComplete: true };
  }

  /** Up to which revision a copy is complete that was so up to `from` and has taken in all that this one holds since. */
  completeFrom(from: number): number {
    // Of drops that are forgotten here it has not heard.
    return from < this.compactedRevision ? from : Math.max(from, this.revision);
  }

  /** Takes in what a peer's copy holds. */
  applyAllFromPeer(changes: readonly Change[]): void {
    for (const change of changes) this.applyFromPeer(change);
  }

  /** Reads all records; what is no longer there is dropped. */
  async load(): Promise<void> {
    const sentAtMs = this.clock.now();
    const seenKeys = new Set<string>();
    let pageAfter: string | undefined;
    let firstRevision = 0;
    for (;;) {
      const page = await this.client.list(this.prefix, pageAfter, PAGE_ROWS, Priority.lease);
      if (pageAfter === undefined) firstRevision = page.revision;
      for (const row of page.rows) {
        seenKeys.add(row.key);
        this.apply(row);
      }
      if (!page.hasMore || page.rows.length === 0) break;
      pageAfter = page.rows[page.rows.length - 1]!.key;
    }
    for (const [key, row] of this.rows) {
      if (!seenKeys.has(key) && row.value !== undefined && row.modRevision <= firstRevision) {
        this.apply({ key, value: undefined, modRevision: firstRevision });
      }
    }
    this.revision = Math.max(this.revision, firstRevision);
    // Drops before it have not been seen here.
    this.compactedRevision = Math.max(this.compactedRevision, firstRevision);
    this.isLoaded = true;
    this.freshAt = Math.max(this.freshAt, sentAtMs);
  }

  /** Asks for all that is new, without waiting; shared by all who ask at once. */
  refresh(): Promise<boolean> {
    this.refreshing ??= this.pull(0).finally(() => (this.refreshing = undefined));
    return this.refreshing;
  }

  private async pull(waitMs: number): Promise<boolean> {
    if (!this.isLoaded) return false;
    const sentAt = this.clock.now();
    try {
      const news = await this.client.watch(
        this.prefix,
        this.revision,
        waitMs,
        waitMs === 0 ? Priority.lease : Priority.record,
      );
      if (news === undefined) {
        await this.load();
        return true;
      }
      for (const change of news.changes) this.apply(change);
      this.completeTo(news.revision);
      this.freshAt = Math.max(this.freshAt, sentAt);
      return true;
    } catch {
      return false;
    }
  }

  /** The routine that keeps the replica up. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.isLoaded) {
        await this.load().catch(() => undefined);
        if (!this.isLoaded) await this.clock.sleep(300, signal);
        continue;
      }
      const ok = await this.pull(WATCH_WAIT_MS);
      await this.clock.sleep(ok ? this.watchPauseMs() : 500, signal);
    }
  }
}
