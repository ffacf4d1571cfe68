import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';

import type { UserAnswer } from '../../testing/answer-checker.js';
import { Cluster } from '../../testing/cluster.js';
import { encodeCommandBatch } from '../../testing/fake-worker-wire-codec.js';
import { C8, DEFAULT_SUBMISSION, jobOf } from '../../testing/fixtures.js';
import { InvariantChecker } from '../../testing/invariant-checker.js';
import { encodeJobState, type JobState } from '../../testing/job-status-wire-codec.js';
import { encodeSubmission, type Submission } from '../../testing/submission-wire-codec.js';

let checker: InvariantChecker;
let now: number;
beforeEach(() => {
  now = 1000;
  checker = new InvariantChecker({
    teams: [{ name: 'red', cpus_max: 8 }, { name: 'blue' }],
    machineTypes: [C8, { ...C8, name: 'big', cpus: 64, memoryGb: 512 }],
    cancelS: 36,
  });
  checker.machineUp('i-1', { machineType: 'c8', zone: 'a', isSpot: false });
  checker.machineUp('i-2', { machineType: 'c8', zone: 'b', isSpot: false });
  checker.machineUp('i-spot', { machineType: 'big', zone: 'a', isSpot: true });
});

const jobId = 'j-000001';
const answer = (kind: UserAnswer['kind'], status: number, state?: JobState, requestedAt = now - 1) =>
  checker.answerReceived({
    kind,
    jobId,
    requestedAt,
    at: now,
    status,
    body: state === undefined ? {} : encodeJobState(jobId, state),
  });
/** A user submits the job and is told that it is accepted. */
const accept = (fields: Partial<Submission> = {}) => {
  checker.submitted(jobOf(fields));
  answer('submit', 201, 'queued');
  now += 100;
};
const cancel = () => {
  checker.cancelRequested(now - 1, jobId);
  answer('cancel', 200, 'cancelled');
  now += 100;
};
const startTask = (machineId: string, taskIndex = 0, commandedAt = now, job = jobId) =>
  checker.taskStarted(now, machineId, `${job}/${taskIndex}`, commandedAt);
const endTask = (machineId: string, taskIndex = 0, exitReason = 'done') =>
  checker.taskEnded(now, machineId, `${jobId}/${taskIndex}`, exitReason);
const violatedRules = () => {
  checker.verdict(now);
  return checker.violations.map((each) => each.rule);
};
/** Advances the time, with a check every second. */
const passSeconds = (seconds: number) => {
  for (let n = 0; n < seconds; n++) checker.checkNow((now += 1000));
};

describe('the invariant checker finds no violation', () => {
  it('in a job that is done before its cancellation is requested', () => {
    accept({ taskCount: 2 });
    startTask('i-1');
    startTask('i-2', 1);
    now += 5000;
    answer('poll', 200, 'running');
    endTask('i-1');
    endTask('i-2', 1);
    now += 3000;
    answer('poll', 200, 'done');
    checker.cancelRequested(now, jobId);
    answer('cancel', 200, 'done');
    assert.deepEqual(violatedRules(), []);
  });

  it('in a task that starts again after its machine is gone', () => {
    accept();
    startTask('i-1');
    checker.machineGone(now, 'i-1');
    startTask('i-2');
    assert.deepEqual(violatedRules(), []);
  });

  it('in an answer to a poll that was sent before the job was cancelled', () => {
    accept({ kind: 'service' });
    startTask('i-1');
    const requestedAt = now - 500;
    cancel();
    answer('poll', 200, 'running', requestedAt);
    endTask('i-1', 0, 'stopped');
    assert.deepEqual(violatedRules(), []);
  });
});

describe('the pipeline checker', () => {
  const SECOND = 'j-000002';
  const THIRD = 'j-000003';
  const answerState = (job: string, state: JobState, kind: UserAnswer['kind'] = 'poll') =>
    checker.answerReceived({
      kind,
      jobId: job,
      requestedAt: now - 1,
      at: now,
      status: 200,
      body: encodeJobState(job, state),
    });
  /** Submits a chain of three jobs, each dependent on the one before; all are accepted. */
  const acceptChain = () => {
    accept({ taskCount: 2 });
    for (const [job, dependency] of [
      [SECOND, jobId],
      [THIRD, SECOND],
    ] as const) {
      checker.submitted(jobOf({ id: job, dependencies: [dependency] }));
      answerState(job, 'queued', 'submit');
    }
  };

  it('reports a task that starts before all tasks of a dependency are done', () => {
    acceptChain();
    startTask('i-1');
    startTask('i-2', 1);
    endTask('i-1');
    startTask('i-1', 0, now, SECOND);
    assert.deepEqual(violatedRules(), ['too_early']);
  });

  it('accepts a task that starts after the dependency is done, and does not report the wait as left_waiting', () => {
    acceptChain();
    checker.faultsEnded(now);
    startTask('i-1');
    startTask('i-2', 1);
    passSeconds(100);
    endTask('i-1');
    endTask('i-2', 1);
    startTask('i-1', 0, now, SECOND);
    assert.deepEqual(violatedRules(), []);
  });

  it('reports a job that is still queued too long after the cancellation of an indirect dependency', () => {
    acceptChain();
    cancel();
    now += 35_000;
    answerState(THIRD, 'queued');
    assert.deepEqual(violatedRules(), []);
    now += 1000;
    answerState(THIRD, 'queued');
    assert.deepEqual(violatedRules(), ['orphaned']);
  });

  it('accepts that a job is cancelled only with one of its dependencies', () => {
    acceptChain();
    answerState(THIRD, 'cancelled');
    assert.deepEqual(violatedRules(), ['went_back']);
    checker.violations.length = 0;
    cancel();
    answerState(SECOND, 'cancelled');
    assert.deepEqual(violatedRules(), []);
    now += 100;
    answerState(SECOND, 'queued');
    assert.deepEqual(violatedRules(), ['went_back']);
  });

  it('reports a job that is accepted though its dependency was never submitted', () => {
    checker.submitted(jobOf({ id: SECOND, dependencies: ['j-nobody'] }));
    answerState(SECOND, 'queued', 'submit');
    assert.deepEqual(violatedRules(), ['wrongly_accepted']);
  });
});

describe('the invariant checker reports', () => {
  it('ran_twice: a task starts while it is still on another machine, or on the same one', () => {
    accept();
    startTask('i-1');
    startTask('i-2');
    assert.deepEqual(violatedRules(), ['ran_twice']);
    endTask('i-2');
    startTask('i-1');
    assert.deepEqual(violatedRules(), ['ran_twice', 'ran_twice']);
  });

  it('quota: the tasks of all jobs of a team together exceed its limit', () => {
    accept({ cpus: 4, taskCount: 2 });
    checker.submitted(jobOf({ id: 'j-000002', cpus: 2 }));
    startTask('i-1');
    startTask('i-2', 1);
    assert.deepEqual(violatedRules(), []);
    startTask('i-2', 0, now, 'j-000002');
    assert.deepEqual(violatedRules(), ['quota']);
  });

  it('wrong_place: a machine of the wrong type, in the wrong zone, or a spot machine', () => {
    const jobs = [{ machineTypes: ['c8'], allowsSpot: true }, { zone: 'b', allowsSpot: true }, { allowsSpot: false }];
    jobs.forEach((fields, n) => {
      checker.submitted(jobOf({ id: `j-${n}`, ...fields }));
      checker.taskStarted(now, 'i-spot', `j-${n}/0`);
    });
    assert.deepEqual(violatedRules(), ['wrong_place', 'wrong_place', 'wrong_place']);
  });

  it('wrong_place: a single-zone job starts a task in another zone than its running tasks', () => {
    accept({ taskCount: 3, singleZone: true });
    startTask('i-1');
    startTask('i-2', 1);
    assert.deepEqual(violatedRules(), ['wrong_place']);
    endTask('i-1', 0, 'stopped');
    startTask('i-2', 2);
    assert.deepEqual(violatedRules(), ['wrong_place']);
  });

  it('wrong_place: more than half, rounded up, of the tasks of a spread job run in one zone', () => {
    accept({ taskCount: 3, spreadAcrossZones: true });
    startTask('i-1');
    startTask('i-1', 1);
    assert.deepEqual(violatedRules(), []);
    startTask('i-1', 2);
    assert.deepEqual(violatedRules(), ['wrong_place']);
  });

  it('ran_cancelled: a task of a cancelled job still runs after the time allowed, also if its machine hangs', () => {
    accept();
    startTask('i-1');
    cancel();
    passSeconds(35);
    assert.deepEqual(violatedRules(), []);
    passSeconds(2);
    assert.deepEqual(violatedRules(), ['ran_cancelled']);
  });

  it('ran_cancelled: a task of a cancelled job ends too late, without a check in between', () => {
    accept();
    startTask('i-1');
    cancel();
    now += 37_000;
    endTask('i-1', 0, 'stopped');
    assert.deepEqual(violatedRules(), ['ran_cancelled']);
  });

  it('started_cancelled: a task starts by a command that was sent after the confirmed cancellation', () => {
    accept();
    cancel();
    startTask('i-1');
    assert.deepEqual(violatedRules(), ['started_cancelled']);
    assert.deepEqual(checker.lateStarts, []);
  });

  it('a late start, not a violation, if the command was sent before the cancellation; the task must still end in time', () => {
    accept();
    const sentAt = now - 100;
    cancel();
    startTask('i-1', 0, sentAt);
    assert.deepEqual(violatedRules(), []);
    assert.equal(checker.lateStarts.length, 1);
    passSeconds(37);
    assert.deepEqual(violatedRules(), ['ran_cancelled']);
  });

  it('forgotten: an accepted job is answered as unknown, or rejected when submitted again', () => {
    accept();
    answer('poll', 404);
    answer('submit', 400);
    answer('submit', 422);
    assert.deepEqual(violatedRules(), ['forgotten', 'forgotten', 'forgotten']);
  });

  it('forgotten: no poll of a job is answered for 75 s after the last fault', () => {
    accept({ cpus: 8 });
    startTask('i-1');
    const pollUnanswered = (seconds: number) => {
      for (let n = 0; n < seconds; n += 5) {
        now += 5000;
        answer('poll', 503);
      }
    };
    pollUnanswered(200);
    assert.deepEqual(violatedRules(), []);
    checker.faultsEnded(now);
    pollUnanswered(70);
    answer('poll', 200, 'running');
    pollUnanswered(70);
    assert.deepEqual(violatedRules(), []);
    pollUnanswered(10);
    assert.deepEqual(violatedRules(), ['forgotten']);
  });

  it('invented: an answer gives a state for a job that was never submitted', () => {
    answer('poll', 404);
    assert.deepEqual(violatedRules(), []);
    answer('poll', 200, 'queued');
    assert.deepEqual(violatedRules(), ['invented']);
  });

  it('not_done: a job is answered as done though a task is not, or though it is a service', () => {
    accept({ taskCount: 2 });
    startTask('i-1');
    endTask('i-1');
    answer('poll', 200, 'done');
    assert.deepEqual(violatedRules(), ['not_done']);
    checker.submitted(jobOf({ id: 'j-svc', kind: 'service' }));
    checker.answerReceived({
      kind: 'poll',
      jobId: 'j-svc',
      requestedAt: now,
      at: now,
      status: 200,
      body: encodeJobState('j-svc', 'done'),
    });
    assert.deepEqual(violatedRules(), ['not_done', 'not_done']);
  });

  it('went_back: a job is answered as running after it was done', () => {
    accept();
    startTask('i-1');
    endTask('i-1');
    answer('poll', 200, 'done');
    now += 1000;
    answer('poll', 200, 'running');
    assert.deepEqual(violatedRules(), ['went_back']);
  });

  it('went_back: a job is answered as done and as cancelled, in whatever order the requests were sent', () => {
    accept();
    startTask('i-1');
    endTask('i-1');
    checker.cancelRequested(now, jobId);
    const requestedAt = now - 50;
    answer('poll', 200, 'done');
    answer('cancel', 200, 'cancelled', requestedAt);
    assert.deepEqual(violatedRules(), ['went_back']);
  });

  it('went_back: a repeated submission is answered as queued after the job was cancelled', () => {
    accept();
    cancel();
    answer('submit', 200, 'queued');
    assert.deepEqual(violatedRules(), ['went_back']);
  });

  it('went_back: a job is answered as cancelled though no user requested it', () => {
    accept();
    answer('poll', 200, 'cancelled');
    assert.deepEqual(violatedRules(), ['went_back']);
  });

  it('wrongly_accepted: a job is accepted that can never run', () => {
    const never: Partial<Submission>[] = [
      { team: 'nobody' },
      { team: 'blue', cpus: 65 },
      { team: 'blue', cpus: 9, machineTypes: ['c8'] },
      { team: 'blue', zone: 'z' },
      { kind: 'service', taskCount: 5 },
      { kind: 'gang', taskCount: 5 },
    ];
    never.forEach((fields, n) => {
      checker.submitted(jobOf({ id: `j-${n}`, ...fields }));
      const accepted = { kind: 'submit' as const, jobId: `j-${n}`, requestedAt: now, at: now, status: 201 };
      checker.answerReceived({ ...accepted, body: encodeJobState(accepted.jobId, 'queued') });
      assert.equal(violatedRules().length, n + 1, JSON.stringify(fields));
    });
    assert.ok(violatedRules().every((rule) => rule === 'wrongly_accepted'));
  });

  it('wrongly_accepted: a job is accepted with a missing or invalid field; nullable fields may be absent', () => {
    accept({ machineTypes: undefined, zone: null, deadlineS: undefined });
    assert.deepEqual(violatedRules(), []);
    const names = Object.keys(DEFAULT_SUBMISSION).filter((name) => name !== 'id');
    for (const name of names) {
      [undefined, null, {}].forEach((value, n) => {
        checker.submitted(encodeSubmission({ ...DEFAULT_SUBMISSION, id: `j-${name}-${n}`, [name]: value }));
        const accepted = { kind: 'submit' as const, jobId: `j-${name}-${n}`, requestedAt: now, at: now, status: 201 };
        checker.answerReceived({ ...accepted, body: encodeJobState(accepted.jobId, 'queued') });
      });
    }
    assert.equal(violatedRules().length, names.length * 3);
    // A repeated submission of an accepted job is answered with its state, however malformed it is.
    checker.submitted(encodeSubmission({ id: jobId }));
    answer('submit', 200, 'queued');
    assert.equal(violatedRules().length, names.length * 3);
  });

  it('left_waiting: a job does not start within 90 s after the last fault, with room and under its team limit', () => {
    accept();
    passSeconds(200);
    assert.deepEqual(violatedRules(), []);
    checker.faultsEnded(now);
    passSeconds(89);
    assert.deepEqual(violatedRules(), []);
    passSeconds(2);
    assert.deepEqual(violatedRules(), ['left_waiting']);
  });

  it('left_waiting only if there is room on a machine that can be reached, and under the team limit', () => {
    accept({ cpus: 6 });
    checker.faultsEnded(now);
    checker.submitted(jobOf({ id: 'j-000002', team: 'blue', cpus: 4 }));
    checker.submitted(jobOf({ id: 'j-000003', cpus: 4 }));
    startTask('i-1', 0, now, 'j-000002');
    checker.machineUsable('i-2', false);
    passSeconds(100);
    checker.machineUsable('i-2', true);
    startTask('i-1', 0, now, 'j-000003');
    passSeconds(100);
    assert.deepEqual(violatedRules(), [], 'first no machine had room, then the team was at its limit');
    checker.taskEnded(now, 'i-1', 'j-000003/0', 'done');
    passSeconds(91);
    assert.deepEqual(violatedRules(), ['left_waiting']);
  });

  it('left_waiting of a single-zone gang only if one zone has room for all its tasks', () => {
    accept({ team: 'blue', kind: 'gang', taskCount: 8, cpus: 2, singleZone: true });
    checker.faultsEnded(now);
    passSeconds(100);
    assert.deepEqual(violatedRules(), [], 'four fit in each zone');
    checker.machineUp('i-3', { machineType: 'c8', zone: 'b', isSpot: false });
    passSeconds(91);
    assert.deepEqual(violatedRules(), ['left_waiting']);
  });
});

describe('a cluster informs its invariant checker', () => {
  it('of everything that its workers run, whoever sent the commands, and of all answers to its users', async () => {
    const cluster = new Cluster();
    const first = cluster.addWorker({ machineId: 'i-1' });
    const second = cluster.addWorker({ machineId: 'i-2', zone: 'b' });
    await cluster.advance(5000);
    await cluster.submit({ id: 'j-svc', kind: 'service', priority: 'prod', estimatedRunS: 0 });
    const machineId = cluster.runs('j-svc/0')[0]!.machineId;
    const other = machineId === 'i-1' ? second : first;
    const launch = (attempt: number) =>
      other.handle(
        '/commands',
        encodeCommandBatch({
          fencingToken: other.fencingToken,
          agentEpoch: 1,
          commands: [{ kind: 'launch', taskId: 'j-svc/0', attempt }],
        }),
      );
    await launch(9);
    assert.deepEqual(
      cluster.checker.violations.map((each) => each.rule),
      ['ran_twice'],
    );
    await cluster.cancelJob('j-svc');
    await launch(10);
    assert.deepEqual(
      cluster.checker.violations.map((each) => each.rule),
      ['ran_twice', 'started_cancelled'],
    );
    assert.equal(cluster.stopAndCheck().length, 2);
  });
});
