/** Records outside the replica, which never change once they exist: the final states of jobs. */
import { MAX_CACHED_FINAL_RECORDS } from '../constants/store.js';
import type { StoredValue } from './replica.js';

const MISSING: StoredValue = { value: undefined, modRevision: 0 };

/** Keeps the newest `MAX_CACHED_FINAL_RECORDS` of them. */
export class FinalRecordCache {
  private readonly rows = new Map<string, StoredValue>();

  /** A record that is not known here counts as missing: the store's compare-and-swap finds out where it exists. */
  get(key: string): StoredValue {
    return this.rows.get(key) ?? MISSING;
  }

  /** A missing record may come to exist, so that is not kept. */
  set(key: string, row: StoredValue): void {
    if (row.value === undefined) return;
    this.rows.delete(key);
    this.rows.set(key, row);
    if (this.rows.size <= MAX_CACHED_FINAL_RECORDS) return;
    const [oldestKey] = this.rows.keys();
    this.rows.delete(oldestKey!);
  }
}
