/**
 * Chunks of placements without the record of their job: pages and changes may bring them before it, and the transaction that
 * ended the job may have had no room to delete them.
 */
import { hasNoActivePlacements } from './placement-codec.js';

/** The stored chunks of one job, by chunk index. */
export type StoredChunks = ReadonlyMap<number, unknown>;

/** Placement chunks whose job record has not arrived yet. */
export class OrphanChunks {
  private readonly chunksByJob = new Map<string, Map<number, unknown>>();

  /** `value`: undefined: the chunk has been deleted. */
  set(jobId: string, chunkIndex: number, value: unknown): void {
    const chunks = this.chunksByJob.get(jobId) ?? new Map<number, unknown>();
    if (value === undefined) chunks.delete(chunkIndex);
    else chunks.set(chunkIndex, value);
    if (chunks.size > 0) this.chunksByJob.set(jobId, chunks);
    else this.chunksByJob.delete(jobId);
  }

  /** The chunks of a job, until it has a record (again). */
  get(jobId: string): StoredChunks | undefined {
    return this.chunksByJob.get(jobId);
  }

  delete(jobId: string): void {
    this.chunksByJob.delete(jobId);
  }

  *entries(): Generator<[jobId: string, chunks: StoredChunks]> {
    yield* this.chunksByJob;
  }

  /** Might any of them hold a task that is on a machine? */
  get hasActivePlacements(): boolean {
    for (const chunks of this.chunksByJob.values()) {
      for (const chunk of chunks.values()) if (!hasNoActivePlacements(chunk)) return true;
    }
    return false;
  }
}
