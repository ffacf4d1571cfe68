/** The local copy of the store's live records, kept up by a watch and by what peers tell of their transactions. */
import {
  LOAD_RETRY_MS,
  PAGE_ROWS,
  TOMBSTONES_KEPT,
  WATCH_PAUSE_MS,
  WATCH_RETRY_MS,
  WATCH_WAIT_MS,
} from '../constants/store.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { StoreClient } from './store-client.js';
import type { Change, Page } from './store-wire-codec.js';

/** A key's value and the revision of its last change. */
export interface StoredValue {
  /** undefined: the key does not exist (a tombstone while older changes may still arrive). */
  value: unknown;
  modRevision: number;
}

/** A change as it is sent to a peer: the value as JSON; null: the key was deleted. */
export interface SerializedChange {
  key: string;
  value: string | null;
  modRevision: number;
}

/** A change in the form in which peers are told. */
export const serializeChange = ({ key, value, modRevision }: Change): SerializedChange => ({
  key,
  value: value === undefined ? null : JSON.stringify(value),
  modRevision,
});

/** All or none: throws a `SyntaxError` where a value is no JSON. */
export const deserializeChanges = (sent: readonly SerializedChange[]): Change[] =>
  sent.map(({ key, value, modRevision }) => ({
    key,
    value: value === null ? undefined : (JSON.parse(value) as unknown),
    modRevision,
  }));

/** Told of each change that the replica takes in; `before`: undefined where the key was not known. */
export type ReplicaListener = (key: string, now: StoredValue, before: StoredValue | undefined) => void;

/** Bytes of a serialized change beside its key and value, a safe upper bound. */
const CHANGE_ENVELOPE_BYTES = 16;

/** Changes since a revision, oldest first. */
export interface ChangesSince {
  changes: SerializedChange[];
  /** The revision to go on after. */
  last: number;
  /** There are no more. */
  isComplete: boolean;
}

/**
 * A copy of every record under one prefix. It may lag; `freshAt` says as of when it is known to be complete. Decisions made on
 * it are safe all the same, since each transaction names the revisions that it was decided on.
 */
export class Replica {
  private readonly rows = new Map<string, StoredValue>();
  private readonly listeners: ReplicaListener[] = [];
  /** Deleted keys, oldest first: what peers' replicas may not know yet. */
  private readonly tombstones: { key: string; modRevision: number }[] = [];
  /** Deletions up to this revision are no longer known here. */
  private compactedRevision = 0;
  private refreshing: Promise<boolean> | undefined;
  /** The replica is complete up to this revision; of later changes it holds some. */
  revision = 0;
  /** The number of changes taken in: another number shows that the replica may hold more. */
  version = 0;
  isLoaded = false;
  /** Steady ms at which the last request was sent whose answer showed the replica to be complete. */
  freshAt = -Infinity;

  constructor(
    private readonly client: StoreClient,
    private readonly prefix: string,
    private readonly clock: Clock,
    /** ms between two watches. */
    private readonly watchPauseMs: () => number = () => WATCH_PAUSE_MS,
  ) {}

  /** Listeners are called in the order in which they were added. */
  onChange(listener: ReplicaListener): void {
    this.listeners.push(listener);
  }

  /** A missing key has the revision 0, which as a condition means that it must not exist. */
  get(key: string): StoredValue {
    const row = this.rows.get(key);
    return row?.value === undefined ? { value: undefined, modRevision: 0 } : row;
  }

  /** Takes in one change unless a newer one is known: late copies of old changes must not bring back old values. */
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
   * Takes in what a peer's transaction has just changed. A change at a revision up to which the replica is complete is old,
   * perhaps held back by a network partition: a record deleted since would be resurrected by it.
   */
  applyFromPeer(change: Change): void {
    if (this.isLoaded && change.modRevision > this.revision) this.apply(change);
  }

  /** All changes up to the revision have been taken in, from the store or from a peer's replica that held them. */
  completeTo(revision: number): void {
    if (revision <= this.revision) return;
    this.revision = revision;
    this.compactTombstones();
  }

  /** Once the replica is complete beyond a deletion, older changes of the key are told by their revision alone. */
  private compactTombstones(): void {
    let count = 0;
    while (this.tombstones.length - count > TOMBSTONES_KEPT && this.tombstones[count]!.modRevision <= this.revision) {
      const { key, modRevision } = this.tombstones[count]!;
      count++;
      this.compactedRevision = Math.max(this.compactedRevision, modRevision);
      const row = this.rows.get(key);
      if (row?.value === undefined && row?.modRevision === modRevision) this.rows.delete(key);
    }
    if (count > 0) this.tombstones.splice(0, count);
  }

  /** What the replica holds that is newer than the revision `after`, as far as the bytes allow. */
  changesSince(after: number, maxBytes: number): ChangesSince {
    const rows = [...this.rows]
      .filter(([, { modRevision }]) => modRevision > after)
      .sort(([, a], [, b]) => a.modRevision - b.modRevision);
    const changes: SerializedChange[] = [];
    let bytes = 0;
    let last = after;
    for (const [key, { value, modRevision }] of rows) {
      const change = serializeChange({ key, value, modRevision });
      bytes += key.length + (change.value?.length ?? 0) + CHANGE_ENVELOPE_BYTES;
      // All changes of a revision are sent together.
      if (bytes > maxBytes && changes.length > 0 && modRevision > last) return { changes, last, isComplete: false };
      changes.push(change);
      last = modRevision;
    }
    return { changes, last, isComplete: true };
  }

  /** The revision up to which a replica is complete that was so up to `from` and has taken in all that this one holds since. */
  completeFrom(from: number): number {
    // It has not been told of deletions that are compacted here.
    return from < this.compactedRevision ? from : Math.max(from, this.revision);
  }

  /** Takes in what a peer's replica holds. */
  applyAllFromPeer(changes: readonly Change[]): void {
    for (const change of changes) this.applyFromPeer(change);
  }

  /** Reads all records; what is no longer there is dropped here. Throws a `StoreError`. */
  async load(): Promise<void> {
    const sentAtMs = this.clock.now();
    const seenKeys = new Set<string>();
    let firstRevision: number | undefined;
    let page: Page | undefined;
    while (page === undefined || (page.hasMore && page.rows.length > 0)) {
      page = await this.client.list(this.prefix, page?.rows.at(-1)?.key, PAGE_ROWS, Priority.lease);
      firstRevision ??= page.revision;
      for (const row of page.rows) {
        seenKeys.add(row.key);
        this.apply(row);
      }
    }
    // Later pages may hold later changes, but the whole is complete only up to the first page's revision.
    this.completeLoad(seenKeys, firstRevision ?? 0, sentAtMs);
  }

  private completeLoad(seenKeys: ReadonlySet<string>, revision: number, sentAtMs: number): void {
    for (const [key, row] of this.rows) {
      if (!seenKeys.has(key) && row.value !== undefined && row.modRevision <= revision) {
        this.apply({ key, value: undefined, modRevision: revision });
      }
    }
    this.revision = Math.max(this.revision, revision);
    // Deletions before it have not been seen here.
    this.compactedRevision = Math.max(this.compactedRevision, revision);
    this.isLoaded = true;
    this.freshAt = Math.max(this.freshAt, sentAtMs);
  }

  /** Asks for all changes since, without waiting; one request serves all who ask at once. False: the store did not answer. */
  refresh(): Promise<boolean> {
    this.refreshing ??= this.pull(0).finally(() => {
      this.refreshing = undefined;
    });
    return this.refreshing;
  }

  /** A watch of `waitMs` at most. False: the store did not answer, or nothing is loaded yet. */
  private async pull(waitMs: number): Promise<boolean> {
    if (!this.isLoaded) return false;
    const sentAtMs = this.clock.now();
    try {
      const watched = await this.client.watch(
        this.prefix,
        this.revision,
        waitMs,
        waitMs === 0 ? Priority.lease : Priority.record,
      );
      if (watched === undefined) {
        await this.load();
        return true;
      }
      for (const change of watched.changes) this.apply(change);
      this.completeTo(watched.revision);
      this.freshAt = Math.max(this.freshAt, sentAtMs);
      return true;
    } catch {
      return false;
    }
  }

  /** Keeps the replica up until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.isLoaded) {
        await this.load().catch(() => undefined);
        if (!this.isLoaded) await this.clock.sleep(LOAD_RETRY_MS, signal);
        continue;
      }
      const isUpToDate = await this.pull(WATCH_WAIT_MS);
      await this.clock.sleep(isUpToDate ? this.watchPauseMs() : WATCH_RETRY_MS, signal);
    }
  }
}
