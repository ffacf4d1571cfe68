/** The deletions that a replica remembers, so that late copies of older changes do not restore deleted records. */
import { TOMBSTONES_KEPT } from '../constants/store.js';
import { type Count, maxCount } from '../domain/count.js';

/** A deleted key and the revision of its deletion. */
export interface Tombstone {
  key: string;
  modRevision: Count;
}

/** Deletions in the order in which they were applied. */
export class Tombstones {
  private readonly entries: Tombstone[] = [];
  /** Deletions up to this revision may be missing here. */
  compactedRevision: Count = 0;

  add(tombstone: Tombstone): void {
    this.entries.push(tombstone);
  }

  /** Marks deletions up to the revision as possibly unknown, since they were not observed. */
  markUnobservedTo(revision: Count): void {
    this.compactedRevision = maxCount(this.compactedRevision, revision);
  }

  /**
   * Drops and returns the oldest deletions up to `completeRevision`, but for the last `TOMBSTONES_KEPT`: a replica that is complete
   * up to a deletion's revision rejects older changes of the key by their revision alone.
   */
  compact(completeRevision: Count): Tombstone[] {
    let count = 0;
    while (this.entries.length - count > TOMBSTONES_KEPT && this.entries[count]!.modRevision <= completeRevision) {
      this.markUnobservedTo(this.entries[count]!.modRevision);
      count++;
    }
    return this.entries.splice(0, count);
  }
}
