import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  type BarrierOutcome,
  FollowThrottle,
  maySend,
  PauseGuard,
  stalenessGuardOf,
  TakeoverBarrier,
} from '../src/index.js';

const STORE_LEASE_TTL_MS = 3000;
const REPLICA_FRESH_MS = 2000;
const TICK_MS = 500;
const FREEZE_MS = 3500;

/**
 * A store, a leader A that may freeze, and a successor B. The leader sends to the cloud, which accepts whatever comes; the
 * successor decides on its replica of the records.
 */
class Model {
  private time = 0;
  private leaseUntil = STORE_LEASE_TTL_MS;
  private leader: 'A' | 'B' = 'A';
  private startRevision = 5;
  private replicaRevisionOfB = 5;
  private freshOfA = 0;
  private freshOfB = -Infinity;
  private readonly termOfA = { startRevision: 5 };
  private termOfB: { startRevision: number } | undefined;
  private readonly guard: PauseGuard;
  private readonly barrierOfA = new TakeoverBarrier(() => undefined);
  private readonly barrierOfB = new TakeoverBarrier(() => this.reconciledAt.push(this.replicaRevisionOfB));
  readonly reconciledAt: number[] = [];

  constructor(private readonly hasGuard: boolean) {
    this.guard = new PauseGuard(() => this.time, STORE_LEASE_TTL_MS);
    this.guard.confirm(0);
  }

  readonly actions: Record<string, () => void> = {
    pass: () => {
      this.time += TICK_MS;
      this.guard.check();
    },
    // Nothing of A runs meanwhile; a request may reach it when it resumes before its timers fire.
    freeze: () => void (this.time += FREEZE_MS),
    renew: () => {
      if (this.time >= this.leaseUntil) return;
      this.leaseUntil = this.time + STORE_LEASE_TTL_MS;
      this.freshOfA = this.time;
      this.guard.confirm(this.time);
    },
    // A read that was in flight when A froze: it says nothing of the lease, but makes the replica look fresh.
    lateRead: () => void (this.freshOfA = this.time),
    acquire: () => {
      if (this.time < this.leaseUntil || this.leader === 'B') return;
      this.leader = 'B';
      this.startRevision += 2;
      this.termOfB = { startRevision: this.startRevision };
    },
    replicate: () => {
      this.replicaRevisionOfB = this.startRevision;
      this.freshOfB = this.time;
    },
  };

  private assessA(): BarrierOutcome {
    return this.barrierOfA.assess({
      term: this.termOfA,
      isLeaseConfirmed: !this.hasGuard || this.guard.isConfirmed,
      isReplicaFresh: this.time - this.freshOfA < REPLICA_FRESH_MS,
      replicaRevision: 5,
    });
  }

  private assessB(): BarrierOutcome {
    const isReplicaFresh = this.time - this.freshOfB < REPLICA_FRESH_MS;
    return this.barrierOfB.assess({
      term: this.termOfB,
      isLeaseConfirmed: true,
      isReplicaFresh,
      replicaRevision: this.replicaRevisionOfB,
    });
  }

  /** What must never happen: A sends to the cloud when it no longer leads; B decides on an outdated replica. */
  violation(): string | undefined {
    const isSent = maySend('cloud_return', () => this.assessA().kind === 'open');
    if (isSent && this.leader === 'B') return 'a scale-in by the former leader';
    const decides = this.assessB().kind === 'open';
    if (decides && (this.leader !== 'B' || this.replicaRevisionOfB < this.startRevision))
      return 'a decision on an outdated replica';
    return undefined;
  }
}

/** Runs every sequence of so many actions; returns the first that leads to a violation. */
function explore(depth: number, hasGuard: boolean): string[] | undefined {
  const names = Object.keys(new Model(hasGuard).actions);
  const sequences = names.length ** depth;
  for (let number = 0; number < sequences; number++) {
    const model = new Model(hasGuard);
    const played: string[] = [];
    for (let rest = number, step = 0; step < depth; step++, rest = Math.floor(rest / names.length)) {
      const name = names[rest % names.length]!;
      model.actions[name]!();
      played.push(name);
      const violation = model.violation();
      if (violation !== undefined) return [...played, violation];
    }
  }
  return undefined;
}

describe('the takeover barrier', () => {
  it('lets no former leader send to the cloud and no successor decide early, in any sequence of seven steps', () => {
    assert.equal(explore(7, true), undefined);
  });

  it('is needed: without the check for pauses some sequence breaks it', () => {
    const found = explore(5, false);
    assert.ok(found !== undefined);
    assert.equal(found.at(-1), 'a scale-in by the former leader');
  });

  it('names what is missing, in order, and reconciles once in each term', () => {
    const reconciled: number[] = [];
    const barrier = new TakeoverBarrier(({ startRevision }) => reconciled.push(startRevision));
    const term = { startRevision: 9 };
    const good = { term, isLeaseConfirmed: true, isReplicaFresh: true, replicaRevision: 9 };
    const reason = (evidence: typeof good | (Omit<typeof good, 'term'> & { term: undefined })) => {
      const outcome = barrier.assess(evidence);
      return outcome.kind === 'closed' ? outcome.reason : 'open';
    };
    assert.equal(reason({ ...good, term: undefined }), 'not_leader');
    assert.equal(reason({ ...good, isLeaseConfirmed: false }), 'lease_unconfirmed');
    assert.equal(reason({ ...good, isReplicaFresh: false }), 'replica_stale');
    assert.equal(reason({ ...good, replicaRevision: 8 }), 'replica_behind');
    assert.deepEqual(reconciled, []);
    assert.equal(reason(good), 'open');
    assert.equal(reason(good), 'open');
    assert.deepEqual(reconciled, [9]);
    assert.equal(reason({ ...good, term: { startRevision: 9 } }), 'open');
    assert.deepEqual(reconciled, [9, 9]);
  });
});

describe('outbound calls', () => {
  it('that no receiver can reject are checked when they are sent', () => {
    assert.equal(stalenessGuardOf('cloud_return').kind, 'checked_when_sent');
    assert.equal(stalenessGuardOf('cloud_rent').kind, 'checked_when_sent');
    assert.equal(stalenessGuardOf('command').kind, 'rejected_by_receiver');
    assert.equal(
      maySend('cloud_return', () => false),
      false,
    );
    assert.equal(
      maySend('command', () => false),
      true,
    );
  });
});

describe('following', () => {
  it('is throttled and suspended when timers fire late, and resumes step by step', () => {
    const throttle = new FollowThrottle();
    const afterTicks = (count: number, latenessMs: number) => {
      for (let n = 0; n < count; n++) throttle.recordTick(latenessMs);
      return throttle.stage;
    };
    assert.equal(afterTicks(2, 900), 'following');
    assert.equal(afterTicks(1, 900), 'throttled');
    assert.equal(afterTicks(3, 900), 'suspended');
    assert.equal(throttle.canRequest, false);
    assert.equal(afterTicks(40, 5), 'throttled');
    assert.equal(afterTicks(40, 5), 'following');
    assert.equal(throttle.canRequest, true);
  });
});
