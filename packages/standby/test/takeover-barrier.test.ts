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
 * A store, a leader A that may freeze, and a successor B. The leader sends requests to the cloud, which accepts all of them; the
 * successor makes decisions based on its replica of the records.
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
    this.guard.recordLeaseConfirmation(0);
  }

  readonly actions: Record<string, () => void> = {
    pass: () => {
      this.time += TICK_MS;
      this.guard.check();
    },
    // A runs nothing during the freeze; after it, a request may be handled before the timers of A fire.
    freeze: () => void (this.time += FREEZE_MS),
    renew: () => {
      if (this.time >= this.leaseUntil) return;
      this.leaseUntil = this.time + STORE_LEASE_TTL_MS;
      this.freshOfA = this.time;
      this.guard.recordLeaseConfirmation(this.time);
    },
    // The answer to a read that was in flight when A froze: it does not confirm the lease, but makes the replica appear fresh.
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
      isLeaseConfirmed: !this.hasGuard || this.guard.isLeaseConfirmed,
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

  /** Detects the forbidden cases: A sends to the cloud after losing leadership; B makes a decision on an outdated replica. */
  violation(): string | undefined {
    const isSent = maySend('cloud_return', () => this.assessA().kind === 'open');
    if (isSent && this.leader === 'B') return 'a scale-in by the former leader';
    const decides = this.assessB().kind === 'open';
    if (decides && (this.leader !== 'B' || this.replicaRevisionOfB < this.startRevision))
      return 'a decision on an outdated replica';
    return undefined;
  }
}

/** Executes every sequence of `depth` actions; returns the first one that leads to a violation, followed by the violation. */
function findViolation(depth: number, hasGuard: boolean): string[] | undefined {
  const names = Object.keys(new Model(hasGuard).actions);
  const sequences = names.length ** depth;
  for (let number = 0; number < sequences; number++) {
    const model = new Model(hasGuard);
    const executed: string[] = [];
    for (let rest = number, step = 0; step < depth; step++, rest = Math.floor(rest / names.length)) {
      const name = names[rest % names.length]!;
      model.actions[name]!();
      executed.push(name);
      const violation = model.violation();
      if (violation !== undefined) return [...executed, violation];
    }
  }
  return undefined;
}

describe('the takeover barrier', () => {
  it('prevents calls to the cloud by a former leader and early decisions by a successor, in all sequences of seven actions', () => {
    assert.equal(findViolation(7, true), undefined);
  });

  it('permits a scale-in by the former leader if pauses are not detected', () => {
    const counterexample = findViolation(5, false);
    assert.ok(counterexample !== undefined);
    assert.equal(counterexample.at(-1), 'a scale-in by the former leader');
  });

  it('reports the first unmet precondition in a fixed order, and reconciles once per term', () => {
    const reconciled: (number | bigint)[] = [];
    const barrier = new TakeoverBarrier(({ startRevision }) => reconciled.push(startRevision));
    const term = { startRevision: 9 };
    const complete = { term, isLeaseConfirmed: true, isReplicaFresh: true, replicaRevision: 9 };
    const outcomeOf = (evidence: typeof complete | (Omit<typeof complete, 'term'> & { term: undefined })) => {
      const outcome = barrier.assess(evidence);
      return outcome.kind === 'closed' ? outcome.reason : 'open';
    };
    assert.equal(outcomeOf({ ...complete, term: undefined }), 'not_leader');
    assert.equal(outcomeOf({ ...complete, isLeaseConfirmed: false }), 'lease_unconfirmed');
    assert.equal(outcomeOf({ ...complete, isReplicaFresh: false }), 'replica_stale');
    assert.equal(outcomeOf({ ...complete, replicaRevision: 8 }), 'replica_behind');
    assert.deepEqual(reconciled, []);
    assert.equal(outcomeOf(complete), 'open');
    assert.equal(outcomeOf(complete), 'open');
    assert.deepEqual(reconciled, [9]);
    assert.equal(outcomeOf({ ...complete, term: { startRevision: 9 } }), 'open');
    assert.deepEqual(reconciled, [9, 9]);
  });
});

describe('outbound calls', () => {
  it('are checked at the time of sending if the receiver cannot reject stale ones', () => {
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

describe('requests of a follower', () => {
  it('are throttled and then suspended when timers fire late, and resume stage by stage', () => {
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
