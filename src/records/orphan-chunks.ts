/**
 * Placement chunks whose job has no record in the replica. Pages and changes may deliver chunks before their job's record, and
 * the transaction that ended a job may have had no room to delete all its chunks.
 */
import { hasNoActivePlacements } from './placement-codec.js';

/** The stored chunks of one job, by chunk index. */
export type StoredChunks = ReadonlyMap<number, unknown>;

/** The placement chunks without a job record, by job. */
export class OrphanChunks {
  private readonly chunksByJob = new Map<string, Map<number, unknown>>();

  /** `value`: the stored chunk; undefined: it has been deleted. */
  set(jobId: string, chunkIndex: number, value: unknown): void {
    const chunks = this.chunksByJob.get(jobId) ?? new Map<number, unknown>();
    if (value === undefined) chunks.delete(chunkIndex);
    else chunks.set(chunkIndex, value);
    if (chunks.size > 0) this.chunksByJob.set(jobId, chunks);
    else this.chunksByJob.delete(jobId);
  }

  /** The orphan chunks of a job; undefined: it has none. */
  get(jobId: string): StoredChunks | undefined {
    return this.chunksByJob.get(jobId);
  }

  delete(jobId: string): void {
    this.chunksByJob.delete(jobId);
  }

  *entries(): Generator<[jobId: string, chunks: StoredChunks]> {
    yield* this.chunksByJob;
  }

  /** Whether any of the chunks may hold a placed task. */
  get mayHoldActivePlacements(): boolean {
    for (const chunks of this.chunksByJob.values()) {
      for (const chunk of chunks.values()) if (!hasNoActivePlacements(chunk)) return true;
    }
    return false;
  }
}
