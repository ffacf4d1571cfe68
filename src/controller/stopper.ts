import { STOPPING_MS } from '../constants.js';
import type { Book, Place } from '../ledger/book.js';
import { stopShard } from '../ledger/edits.js';
import type { JobSpec } from '../ledger/records.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { Committer } from '../state/committer.js';
import { attemptOf } from '../workers/reconcile.js';
import { LEADER, type Claims } from './claims.js';
import type { Log } from './log.js';

/** Marks places for stopping on the leader's behalf, and remembers which until the ledger shows it. */
export class Stopper {
  private readonly stoppedAt = new Map<string, number>();

  constructor(
    private readonly claims: Claims,
    private readonly book: Book,
    private readonly committer: Committer,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Attempts that were lately asked to stop, with the steady ms. */
  *lately(): Iterable<{ attempt: string; at: number }> {
    for (const [attempt, at] of this.stoppedAt) if (this.clock.now() - at < STOPPING_MS) yield { attempt, at };
  }

  /** A former leader has asked the attempt to stop. */
  restore(attempt: string, at: number): void {
    if (!this.stoppedAt.has(attempt)) this.stoppedAt.set(attempt, at);
  }

  isStopping(place: Place): boolean {
    if (place.slot.stop !== null) return true;
    if (this.stoppedAt.size === 0) return false;
    const since = this.stoppedAt.get(attemptOf(place));
    return since !== undefined && this.clock.now() - since < STOPPING_MS;
  }

  stop(place: Place, spec: JobSpec, grace: number, why: string): void {
    const { ref } = place;
    // A gang stops whole: every member must be told within `gang_peer_s` of the first.
    const places: Place[] = [];
    if (spec.Shape === 'ensemble') {
      for (const [shard, slot] of this.book.jobs.get(ref)?.known() ?? []) {
        if (slot.kind === 'placed' && slot.attempt === place.slot.attempt) places.push({ ref, shard, slot });
      }
    } else places.push(place);
    const now = this.clock.now();
    for (const [key, at] of this.stoppedAt) if (now - at > STOPPING_MS) this.stoppedAt.delete(key);
    for (const each of places) this.stoppedAt.set(attemptOf(each), now);
    this.log.debug({ job: ref, machine: place.slot.host, shards: places.length, grace, why }, 'stop');
    void this.committer.commit(
      'stop',
      Priority.start,
      (draft) => {
        if (!this.claims.require(draft, LEADER)) return false;
        let marked = false;
        for (const each of places) {
          if (stopShard(draft, ref, each.shard, each.slot.host, each.slot.attempt, grace)) marked = true;
        }
        return marked;
      },
      undefined,
      this.book.companyOf(ref, place.shard),
    );
  }
}
