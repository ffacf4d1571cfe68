/** Records in the ledger that places are free, and draws from each exit what it tells of its machine. */
import type { Settings } from '../config/settings.js';
import type { Book, Place } from '../ledger/book.js';
import { freeShard } from '../ledger/edits.js';
import type { Proof } from '../ledger/rules.js';
import type { TeamAccounting } from '../ledger/team-accounting.js';
import type { Clock } from '../net/clock.js';
import { exitPriority } from '../placement/queue.js';
import type { Committer } from '../state/committer.js';
import { attemptOf, nameOfPlace, type Free } from '../workers/reconcile.js';
import type { Worker } from '../workers/worker.js';
import type { Claims } from './claims.js';
import type { Log } from './log.js';
import type { Stragglers } from './stragglers.js';
import type { WorkerRegistry } from './worker-registry.js';

/** Whom an exit is told to. */
export interface ExitListener {
  /** A task has run to its end. */
  completed(place: Place, ranS: number): void;
  /** A task died unfinished: an unhealthy check. */
  died(place: Place): void;
}

export interface ExitRecorderDependencies {
  settings: Settings;
  claims: Claims;
  book: Book;
  committer: Committer;
  accounting: TeamAccounting;
  workers: WorkerRegistry;
  stragglers: Stragglers;
  events: ExitListener;
  clock: Clock;
  log: Log;
}

export class ExitRecorder {
  /** Attempts whose end is handed to the ledger and not yet recorded, also on machines that this node has never heard. */
  private readonly recording = new Set<string>();

  constructor(private readonly dependencies: ExitRecorderDependencies) {}

  /** Frees a place; `proofNow` is asked again whenever the decision is tried, and gives the proof that it is taken on. */
  record(host: string, role: string, free: Free, proofNow: () => Proof | undefined): void {
    const key = attemptOf(free.place);
    if (this.recording.has(key)) return;
    this.recording.add(key);
    const worker = this.dependencies.workers.get(host);
    this.logExit(host, worker, free);
    if (worker !== undefined) this.noteExit(worker, free);
    this.noteDeath(free);
    void this.commit(host, role, free, proofNow).finally(() => this.recording.delete(key));
  }

  private commit(host: string, role: string, { place, ending }: Free, proofNow: () => Proof | undefined) {
    const { claims, book, committer, accounting } = this.dependencies;
    const acquisition = claims.acquisition(role);
    const spec = book.jobs.get(place.ref)?.record.spec;
    return committer.commit(
      'free',
      exitPriority(spec),
      (draft) => {
        // What another owner has placed here in between, this proof does not speak of.
        if (!claims.require(draft, role) || claims.acquisition(role) !== acquisition) return false;
        // Nor of a later stay on the same machine, after a change without an answer has freed the place already.
        const proof = proofNow();
        if (proof === undefined) return false;
        return freeShard(draft, accounting, place.ref, place.shard, host, proof, ending);
      },
      undefined,
      book.companyOf(place.ref, place.shard, accounting.teamChangedByExit(spec)),
    );
  }

  private noteExit(worker: Worker, { place, ending, task }: Free): void {
    const { settings, stragglers, events, clock } = this.dependencies;
    const now = clock.now();
    const began = worker.runningSince.get(attemptOf(place));
    if (task !== undefined && (ending === 'done' || ending === 'failed')) worker.noteExit(place.ref, ending, now);
    if (task?.cause === 'no_room' || task?.cause === 'in_use') {
      worker.coolUntil = now + settings.cluster.workers.report_s * 1000;
    }
    if (ending === 'done' && began !== undefined) {
      events.completed(place, (now - began) / 1000);
      stragglers.compare(worker, place, now - began);
    }
  }

  private noteDeath({ place, ending }: Free): void {
    const { book, events } = this.dependencies;
    const isStopped = place.slot.stop !== null || book.jobs.get(place.ref)?.record.phase !== 'active';
    if (ending !== 'done' && !isStopped) events.died(place);
  }

  private logExit(host: string, worker: Worker | undefined, { place, proof, task }: Free): void {
    const { clock, log } = this.dependencies;
    const key = attemptOf(place);
    const now = clock.now();
    const began = worker?.runningSince.get(key);
    const seconds = (ms: number | undefined) => (ms === undefined ? undefined : Math.round(ms / 100) / 10);
    log.debug(
      {
        machine: host,
        shard: nameOfPlace(place),
        attempt: place.slot.attempt,
        proof: proof.kind,
        cause: task?.cause,
        fetchedS: seconds(began === undefined ? undefined : began - (worker?.firstSeen.get(key) ?? began)),
        ranS: seconds(began === undefined ? undefined : now - began),
      },
      'task over',
    );
  }
}
