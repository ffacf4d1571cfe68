/** A local copy of the store's live records, kept up to date by a watch and by changes that peers broadcast. */
import { LOAD_RETRY_MS, PAGE_ROWS, WATCH_PAUSE_MS, WATCH_RETRY_MS, WATCH_WAIT_MS } from '../constants/store.js';
import { compareCounts, type Count, maxCount } from '../domain/count.js';
import type { Clock } from '../net/clock.js';
import { parseJson, stringifyJson } from '../net/json.js';
import { Priority } from '../net/token-bucket.js';
import type { StoreClient } from './store-client.js';
import type { Change, Page } from './store-wire-codec.js';
import { Tombstones } from './tombstones.js';

/** A key's value and the revision of its last change. */
export interface StoredValue {
  /** undefined: the key does not exist; kept as a tombstone while older changes may still arrive. */
  value: unknown;
  modRevision: Count;
}

/** A change in the form sent to peers: the value as JSON, or null if the key was deleted. */
export interface SerializedChange {
  key: string;
  value: string | null;
  modRevision: Count;
}

/** Converts a change to the form sent to peers. */
export const serializeChange = ({ key, value, modRevision }: Change): SerializedChange => ({
  key,
  value: value === undefined ? null : stringifyJson(value),
  modRevision,
});

/** Decodes all changes or none: throws a `SyntaxError` if any value is not valid JSON. */
export const deserializeChanges = (serialized: readonly SerializedChange[]): Change[] =>
  serialized.map(({ key, value, modRevision }) => ({
    key,
    value: value === null ? undefined : parseJson(value),
    modRevision,
  }));

/** Called for each change that the replica applies; `previous` is undefined if the key was unknown. */
export type ReplicaListener = (key: string, current: StoredValue, previous: StoredValue | undefined) => void;

/** One complete read of the records from the store. */
export interface ReplicaLoad {
  revision: Count;
  rowCount: number;
  tookMs: number;
}

/** Upper bound of a serialized change's size in bytes, without its key and value. */
const CHANGE_ENVELOPE_BYTES = 16;

/** Changes since a revision, oldest first. */
export interface ChangesSince {
  changes: SerializedChange[];
  /** The revision to continue after. */
  last: Count;
  /** Whether these are all changes. */
  isComplete: boolean;
}

/**
 * A copy of every record under one prefix. It may lag behind the store; `freshAt` is the time as of which it is known to be
 * complete. Decisions based on stale records are still safe, since each transaction names the revisions it was based on.
 */
export class Replica {
  private readonly rows = new Map<string, StoredValue>();
  private readonly listeners: ReplicaListener[] = [];
  /** Deleted keys, kept for peers whose replicas may not have the deletion yet. */
  private readonly tombstones = new Tombstones();
  private refreshInProgress: Promise<boolean> | undefined;
  private loadInProgress: Promise<void> | undefined;
  /** The replica is complete up to this revision, and may hold some later changes. */
  revision: Count = 0;
  /** The number of changes applied; a different number means that the contents may have changed. */
  version = 0;
  isLoaded = false;
  /** Monotonic ms at which the latest request was sent whose response brought the replica fully up to date. */
  freshAt = -Infinity;
  /** Called after each complete read of the records. */
  onLoaded: (load: ReplicaLoad) => void = () => undefined;

  constructor(
    private readonly client: StoreClient,
    private readonly prefix: string,
    private readonly clock: Clock,
    /** Pause between two watches, ms. */
    private readonly watchPauseMs: () => number = () => WATCH_PAUSE_MS,
  ) {}

  /** Listeners are called in the order in which they were added. */
  onChange(listener: ReplicaListener): void {
    this.listeners.push(listener);
  }

  /** A missing key has revision 0; as a condition, that requires the key not to exist. */
  get(key: string): StoredValue {
    const row = this.rows.get(key);
    return row?.value === undefined ? { value: undefined, modRevision: 0 } : row;
  }

  /** Applies a change unless a newer one is known, so that late copies of old changes do not restore old values. */
  apply(change: Change): void {
    const previous = this.rows.get(change.key);
    if (previous !== undefined && previous.modRevision >= change.modRevision) return;
    const current = { value: change.value, modRevision: change.modRevision };
    this.rows.set(change.key, current);
    this.version++;
    if (change.value === undefined) this.tombstones.add({ key: change.key, modRevision: change.modRevision });
    for (const listener of this.listeners) listener(change.key, current, previous);
  }

  /**
   * Applies a change committed by a peer. Ignores changes at revisions up to which the replica is already complete: such a
   * change is old, perhaps delayed by a network partition, and could resurrect a record that has been deleted since.
   */
  applyFromPeer(change: Change): void {
    if (this.isLoaded && change.modRevision > this.revision) this.apply(change);
  }

  /** Marks the replica as complete up to the revision: all changes up to it were received from the store or from a peer. */
  markCompleteTo(revision: Count): void {
    if (revision <= this.revision) return;
    this.revision = revision;
    this.compactTombstones();
  }

  private compactTombstones(): void {
    for (const { key, modRevision } of this.tombstones.compact(this.revision)) {
      const row = this.rows.get(key);
      if (row?.value === undefined && row?.modRevision === modRevision) this.rows.delete(key);
    }
  }

  /** The changes that the replica holds after the revision `after`, oldest first, up to about `maxBytes`. */
  changesSince(after: Count, maxBytes: number): ChangesSince {
    const rows = [...this.rows]
      .filter(([, { modRevision }]) => modRevision > after)
      .sort(([, a], [, b]) => compareCounts(a.modRevision, b.modRevision));
    const changes: SerializedChange[] = [];
    let bytes = 0;
    let last: Count = after;
    for (const [key, { value, modRevision }] of rows) {
      const change = serializeChange({ key, value, modRevision });
      bytes += key.length + (change.value?.length ?? 0) + CHANGE_ENVELOPE_BYTES;
      // Changes of the same revision are never split.
      if (bytes > maxBytes && changes.length > 0 && modRevision > last) return { changes, last, isComplete: false };
      changes.push(change);
      last = modRevision;
    }
    return { changes, last, isComplete: true };
  }

  /**
   * For another replica that was complete up to `from` and has since applied all later changes held here: the revision up to
   * which that replica is now complete.
   */
  completeRevisionAfter(from: Count): Count {
    // Deletions after `from` may have been compacted here, so the other replica may lack them.
    return from < this.tombstones.compactedRevision ? from : maxCount(from, this.revision);
  }

  /** Applies changes from a peer's replica. */
  applyAllFromPeer(changes: readonly Change[]): void {
    for (const change of changes) this.applyFromPeer(change);
  }

  /**
   * Reads all records from the store, and drops local records that no longer exist there; concurrent callers share one read.
   * Throws a `StoreError`.
   */
  load(): Promise<void> {
    this.loadInProgress ??= this.readAll().finally(() => {
      this.loadInProgress = undefined;
    });
    return this.loadInProgress;
  }

  private async readAll(): Promise<void> {
    const sentAtMs = this.clock.now();
    const seenKeys = new Set<string>();
    let firstRevision: Count | undefined;
    let page: Page | undefined;
    while (page === undefined || (page.hasMore && page.rows.length > 0)) {
      page = await this.client.list(this.prefix, page?.rows.at(-1)?.key, PAGE_ROWS, Priority.lease);
      firstRevision ??= page.revision;
      for (const row of page.rows) {
        seenKeys.add(row.key);
        this.apply(row);
      }
    }
    // Later pages may contain later changes, but the replica is complete only up to the first page's revision.
    this.completeLoad(seenKeys, firstRevision ?? 0, sentAtMs);
  }

  private completeLoad(seenKeys: ReadonlySet<string>, revision: Count, sentAtMs: number): void {
    for (const [key, row] of this.rows) {
      if (!seenKeys.has(key) && row.value !== undefined && row.modRevision <= revision) {
        this.apply({ key, value: undefined, modRevision: revision });
      }
    }
    this.revision = maxCount(this.revision, revision);
    // Deletions up to this revision were not observed.
    this.tombstones.markUnobservedTo(revision);
    this.isLoaded = true;
    this.freshAt = Math.max(this.freshAt, sentAtMs);
    this.onLoaded({ revision, rowCount: seenKeys.size, tookMs: this.clock.now() - sentAtMs });
  }

  /**
   * Fetches all changes since `revision` without waiting for new ones; concurrent callers share one request. Resolves to false
   * if the store did not respond, or nothing is loaded yet.
   */
  refresh(): Promise<boolean> {
    this.refreshInProgress ??= this.pull(0, Priority.lease).finally(() => {
      this.refreshInProgress = undefined;
    });
    return this.refreshInProgress;
  }

  /**
   * Makes the replica complete as of the monotonic time `sinceMs`, in ms: does nothing if it is already, and relies on no request
   * that was sent before. Resolves to false if the store did not respond, or nothing is loaded yet.
   */
  async refreshSince(sinceMs: number, priority: Priority): Promise<boolean> {
    if (this.freshAt < sinceMs) await this.pull(0, priority);
    return this.freshAt >= sinceMs;
  }

  /** Watches for at most `waitMs`. Resolves to false if the store did not respond, or nothing is loaded yet. */
  private async pull(waitMs: number, priority: Priority): Promise<boolean> {
    if (!this.isLoaded) return false;
    const sentAtMs = this.clock.now();
    try {
      const watched = await this.client.watch(this.prefix, this.revision, waitMs, priority);
      if (watched === undefined) {
        await this.load();
        return true;
      }
      for (const change of watched.changes) this.apply(change);
      this.markCompleteTo(watched.revision);
      this.freshAt = Math.max(this.freshAt, sentAtMs);
      return true;
    } catch {
      return false;
    }
  }

  /** Keeps the replica up to date until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.isLoaded) {
        await this.load().catch(() => undefined);
        if (!this.isLoaded) await this.clock.sleep(LOAD_RETRY_MS, signal);
        continue;
      }
      const isUpToDate = await this.pull(WATCH_WAIT_MS, Priority.record);
      await this.clock.sleep(isUpToDate ? this.watchPauseMs() : WATCH_RETRY_MS, signal);
    }
  }
}
