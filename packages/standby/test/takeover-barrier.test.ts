import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  FollowThrottle,
  PauseGuard,
  TakeoverBarrier,
  stalenessGuardOf,
  maySend,
  type BarrierOutcome,
} from '../src/index.js';

const HOLD_MS = 3000;
const REPLICA_FRESH_MS = 2000;
const TICK_MS = 500;
const FREEZE_MS = 3500;

/**
 * A store, a holder A that may stand still, and a successor B. The holder sends to the cloud, which takes whatever comes; the
 * successor decides on its copy of the records.
 */
class Model {
  private time = 0;
  private holdUntil = HOLD_MS;
  private owner: 'A' | 'B' = 'A';
  private startRevision = 5;
  private copyOfB = 5;
  private freshOfA = 0;
  private freshOfB = -Infinity;
  private readonly tenureOfA = { startRevision: 5 };
  private tenureOfB: { startRevision: number } | undefined;
  private readonly guard: PauseGuard;
  private readonly barrierOfA = new TakeoverBarrier(() => undefined);
  private readonly barrierOfB = new TakeoverBarrier(() => this.reconciledAt.push(this.copyOfB));
  readonly reconciledAt: number[] = [];

  constructor(private readonly hasGuard: boolean) {
    this.guard = new PauseGuard(() => this.time, HOLD_MS);
    this.guard.confirm(0);
  }

  readonly actions: Record<string, () => void> = {
    pass: () => {
      this.time += TICK_MS;
      this.guard.check();
    },
    // Nothing of A runs meanwhile; what is asked of it first when it resumes may come before its timers.
    freeze: () => void (this.time += FREEZE_MS),
    renew: () => {
      if (this.time >= this.holdUntil) return;
      this.holdUntil = this.time + HOLD_MS;
      this.freshOfA = this.time;
      this.guard.confirm(this.time);
    },
    // A read that was on its way when A froze: it says nothing of the hold, but makes the copy look fresh.
    lateRead: () => void (this.freshOfA = this.time),
    claim: () => {
      if (this.time < this.holdUntil || this.owner === 'B') return;
      this.owner = 'B';
      this.startRevision += 2;
      this.tenureOfB = { startRevision: this.startRevision };
    },
    copy: () => {
      this.copyOfB = this.startRevision;
      this.freshOfB = this.time;
    },
  };

  private assessA(): BarrierOutcome {
    return this.barrierOfA.assess({
      term: this.tenureOfA,
      isLeaseConfirmed: !this.hasGuard || this.guard.isConfirmed,
      isReplicaFresh: this.time - this.freshOfA < REPLICA_FRESH_MS,
      replicaRevision: 5,
    });
  }

  private assessB(): BarrierOutcome {
    const isReplicaFresh = this.time - this.freshOfB < REPLICA_FRESH_MS;
    return this.barrierOfB.assess({
      term: this.tenureOfB,
      isLeaseConfirmed: true,
      isReplicaFresh,
      replicaRevision: this.copyOfB,
    });
  }

  /** What must never be: the holder sends to the cloud when its claim is gone; the successor decides on an older copy. */
  violation(): string | undefined {
    const isSent = maySend('cloud_return', () => this.assessA().kind === 'open');
    if (isSent && this.owner === 'B') return 'a return of the former holder';
    const decides = this.assessB().kind === 'open';
    if (decides && (this.owner !== 'B' || this.copyOfB < this.startRevision)) return 'a decision on an older copy';
    return undefined;
  }
}

/** Plays every sequence of so many actions; returns the first that leads to a violation. */
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
  it('lets no former holder send to the cloud and no successor decide early, in any sequence of seven steps', () => {
    assert.equal(explore(7, true), undefined);
  });

  it('is needed: without the check for pauses some sequence breaks it', () => {
    const found = explore(5, false);
    assert.ok(found !== undefined);
    assert.equal(found.at(-1), 'a return of the former holder');
  });

  it('names what is missing, in order, and reconciles once in each tenure', () => {
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

describe('outward calls', () => {
  it('that no receiver can refuse are checked when they are sent', () => {
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
  it('slows down and rests when timers come late, and comes back step by step', () => {
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
