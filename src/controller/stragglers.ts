import { RELIEVE_FACTOR, SIBLINGS_KNOWN, STRAGGLER_FACTOR } from '../constants.js';
import type { Book, Place } from '../ledger/book.js';
import { stopShard } from '../ledger/edits.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { Committer } from '../state/committer.js';
import { attemptOf, nameOfPlace } from '../workers/reconcile.js';
import type { Worker } from '../workers/worker.js';
import type { Claims } from './claims.js';
import type { Log } from './log.js';

/** Tells slow machines by tasks that run far longer than their siblings, and takes batch work off them. */
export class Stragglers {
  constructor(
    private readonly claims: Claims,
    private readonly book: Book,
    private readonly committer: Committer,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** How long the finished tasks of a job ran on this node's machines. */
  private readonly siblings = new Map<string, { count: number; meanMs: number }>();

  compare(worker: Worker, place: Place, ranMs: number): void {
    // A task that goes on from a checkpoint has less left to run, and says nothing about others.
    if (place.slot.attempt > 1) return;
    const known = this.siblings.get(place.ref) ?? { count: 0, meanMs: 0 };
    if (known.count >= SIBLINGS_KNOWN && this.isHalfDone(place.ref)) {
      worker.noteRatio(attemptOf(place), ranMs / known.meanMs, this.clock.now());
    }
    const count = known.count + 1;
    this.siblings.set(place.ref, { count, meanMs: known.meanMs + (ranMs - known.meanMs) / count });
  }

  /** The first to finish are the short ones: compared with them alone, the other half would all seem slow. */
  private isHalfDone(ref: string): boolean {
    const view = this.book.jobs.get(ref);
    return view !== undefined && view.done * 2 >= view.record.spec.Shards;
  }

  /** Tasks that run far longer than their finished siblings show that their machine is slow, before they end. */
  look(worker: Worker): void {
    const now = this.clock.now();
    for (const [key, since] of worker.runningSince) {
      const ref = key.slice(0, key.lastIndexOf('/'));
      const known = this.siblings.get(ref);
      if (known === undefined || known.count < SIBLINGS_KNOWN || !key.endsWith('#1') || !this.isHalfDone(ref)) continue;
      if (now - since > STRAGGLER_FACTOR * known.meanMs) worker.noteRatio(key, (now - since) / known.meanMs, now);
    }
  }

  /** Starts anew elsewhere what would take longer to end on a slow machine; services move by their happiness only. */
  relieve(workers: Iterable<Worker>, roleOf: (host: string) => string): void {
    for (const ref of this.siblings.keys()) if (!this.book.jobs.has(ref)) this.siblings.delete(ref);
    if (!this.claims.inTouch) return;
    const now = this.clock.now();
    for (const worker of workers) if (worker.isSlow(now)) this.relieveOne(worker, roleOf(worker.host), now);
  }

  private relieveOne(worker: Worker, role: string, now: number): void {
    for (const place of [...this.book.placesOn(worker.host)]) {
      const spec = this.book.jobs.get(place.ref)?.record.spec;
      const key = attemptOf(place);
      const since = worker.runningSince.get(key);
      const mean = this.siblings.get(place.ref)?.meanMs ?? (spec?.GuessS ?? 0) * 1000;
      if (spec?.Shape !== 'array' || place.slot.stop !== null || since === undefined) continue;
      if (now - since > RELIEVE_FACTOR * mean || worker.relieved.has(key)) continue;
      worker.relieved.add(key);
      this.log.info({ shard: nameOfPlace(place), machine: worker.host }, 'taken off a slow machine');
      const grace = spec.SnapshotEveryS > 0 ? spec.SnapshotS : 0;
      void this.committer.commit('relieve', Priority.background, (draft) => {
        if (!this.claims.require(draft, role)) return false;
        return stopShard(draft, place.ref, place.shard, worker.host, place.slot.attempt, grace);
      });
    }
  }
}
