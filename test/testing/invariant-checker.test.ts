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
const answer = (kind: UserAnswer['kind'], status: number, state?: JobState, askedAt = now - 1) =>
  checker.answered({
    kind,
    jobId,
    askedAt,
    at: now,
    status,
    body: state === undefined ? {} : encodeJobState(jobId, state),
  });
/** A user submits a job and is told that it is accepted. */
const accept = (fields: Partial<Submission> = {}) => {
  checker.submitted(jobOf(fields));
  answer('submit', 201, 'queued');
  now += 100;
};
const cancel = () => {
  checker.cancelAsked(now - 1, jobId);
  answer('cancel', 200, 'cancelled');
  now += 100;
};
const start = (machineId: string, taskIndex = 0, orderedAt = now, job = jobId) =>
  checker.taskStarted(now, machineId, `${job}/${taskIndex}`, orderedAt);
const end = (machineId: string, taskIndex = 0, cause = 'done') =>
  checker.taskEnded(now, machineId, `${jobId}/${taskIndex}`, cause);
const rules = () => {
  checker.verdict(now);
  return checker.violations.map((each) => each.rule);
};
/** Time passes, and the checker looks every second. */
const pass = (s: number) => {
  for (let n = 0; n < s; n++) checker.checkNow((now += 1000));
};

describe('the checker finds nothing wrong', () => {
  it('with a job that runs to its end, and one that is cancelled in time', () => {
    accept({ taskCount: 2 });
    start('i-1');
    start('i-2', 1);
    now += 5000;
    answer('poll', 200, 'running');
    end('i-1');
    end('i-2', 1);
    now += 3000;
    answer('poll', 200, 'done');
    checker.cancelAsked(now, jobId);
    answer('cancel', 200, 'done');
    assert.deepEqual(rules(), []);
  });

  it('with a task that begins anew once it has left its machine', () => {
    accept();
    start('i-1');
    checker.machineGone(now, 'i-1');
    start('i-2');
    assert.deepEqual(rules(), []);
  });

  it('with a question that was asked before another answer came', () => {
    accept({ kind: 'service' });
    start('i-1');
    const askedAt = now - 500;
    cancel();
    answer('poll', 200, 'running', askedAt);
    end('i-1', 0, 'stopped');
    assert.deepEqual(rules(), []);
  });
});

describe('the checker of pipelines', () => {
  const AFTER = 'j-000002';
  const LAST = 'j-000003';
  const tell = (job: string, state: JobState, kind: UserAnswer['kind'] = 'poll') =>
    checker.answered({ kind, jobId: job, askedAt: now - 1, at: now, status: 200, body: encodeJobState(job, state) });
  /** A chain of three jobs, all accepted. */
  const acceptChain = () => {
    accept({ taskCount: 2 });
    for (const [job, before] of [
      [AFTER, jobId],
      [LAST, AFTER],
    ] as const) {
      checker.submitted(jobOf({ id: job, dependencies: [before] }));
      tell(job, 'queued', 'submit');
    }
  };

  it('catches a task that starts before all tasks of a job before it are done', () => {
    acceptChain();
    start('i-1');
    start('i-2', 1);
    end('i-1');
    start('i-1', 0, now, AFTER);
    assert.deepEqual(rules(), ['too_early']);
  });

  it('finds nothing wrong with one that starts after, and counts no job that waits as left waiting', () => {
    acceptChain();
    checker.faultsEnded(now);
    start('i-1');
    start('i-2', 1);
    pass(100);
    end('i-1');
    end('i-2', 1);
    start('i-1', 0, now, AFTER);
    assert.deepEqual(rules(), []);
  });

  it('catches a job that is called queued for too long after one before it is cancelled, over two levels', () => {
    acceptChain();
    cancel();
    now += 35_000;
    tell(LAST, 'queued');
    assert.deepEqual(rules(), []);
    now += 1000;
    tell(LAST, 'queued');
    assert.deepEqual(rules(), ['orphaned']);
  });

  it('takes a job for cancelled with one before it, and only then', () => {
    acceptChain();
    tell(LAST, 'cancelled');
    assert.deepEqual(rules(), ['went_back']);
    checker.violations.length = 0;
    cancel();
    tell(AFTER, 'cancelled');
    assert.deepEqual(rules(), []);
    now += 100;
    tell(AFTER, 'queued');
    assert.deepEqual(rules(), ['went_back']);
  });

  it('catches a job that is accepted though it needs one that nobody has submitted', () => {
    checker.submitted(jobOf({ id: AFTER, dependencies: ['j-nobody'] }));
    tell(AFTER, 'queued', 'submit');
    assert.deepEqual(rules(), ['wrongly_accepted']);
  });
});

describe('the checker catches', () => {
  it('ran_twice: a task starts while it is on another machine, or still on the same', () => {
    accept();
    start('i-1');
    start('i-2');
    assert.deepEqual(rules(), ['ran_twice']);
    end('i-2');
    start('i-1');
    assert.deepEqual(rules(), ['ran_twice', 'ran_twice']);
  });

  it('quota: tasks of all jobs of a team count together', () => {
    accept({ cpus: 4, taskCount: 2 });
    checker.submitted(jobOf({ id: 'j-000002', cpus: 2 }));
    start('i-1');
    start('i-2', 1);
    assert.deepEqual(rules(), []);
    start('i-2', 0, now, 'j-000002');
    assert.deepEqual(rules(), ['quota']);
  });

  it('wrong_place: type, zone and kind', () => {
    const jobs = [{ machineTypes: ['c8'], allowsSpot: true }, { zone: 'b', allowsSpot: true }, { allowsSpot: false }];
    jobs.forEach((fields, n) => {
      checker.submitted(jobOf({ id: `j-${n}`, ...fields }));
      checker.taskStarted(now, 'i-spot', `j-${n}/0`);
    });
    assert.deepEqual(rules(), ['wrong_place', 'wrong_place', 'wrong_place']);
  });

  it('wrong_place: one zone for all, as long as any task is there', () => {
    accept({ taskCount: 3, singleZone: true });
    start('i-1');
    start('i-2', 1);
    assert.deepEqual(rules(), ['wrong_place']);
    end('i-1', 0, 'stopped');
    start('i-2', 2);
    assert.deepEqual(rules(), ['wrong_place']);
  });

  it('wrong_place: more than half, rounded up, of a spread job in one zone', () => {
    accept({ taskCount: 3, spreadAcrossZones: true });
    start('i-1');
    start('i-1', 1);
    assert.deepEqual(rules(), []);
    start('i-1', 2);
    assert.deepEqual(rules(), ['wrong_place']);
  });

  it('ran_cancelled: a task still there after the time, though its machine hangs', () => {
    accept();
    start('i-1');
    cancel();
    pass(35);
    assert.deepEqual(rules(), []);
    pass(2);
    assert.deepEqual(rules(), ['ran_cancelled']);
  });

  it('ran_cancelled: the end comes too late, with no look in between', () => {
    accept();
    start('i-1');
    cancel();
    now += 37_000;
    end('i-1', 0, 'stopped');
    assert.deepEqual(rules(), ['ran_cancelled']);
  });

  it('started_cancelled: a start whose command was sent after the confirmation', () => {
    accept();
    cancel();
    start('i-1');
    assert.deepEqual(rules(), ['started_cancelled']);
    assert.deepEqual(checker.lateStarts, []);
  });

  it('no rule, but a start to be noted, where the command was on its way; it still has to end in time', () => {
    accept();
    const sentAt = now - 100;
    cancel();
    start('i-1', 0, sentAt);
    assert.deepEqual(rules(), []);
    assert.equal(checker.lateStarts.length, 1);
    pass(37);
    assert.deepEqual(rules(), ['ran_cancelled']);
  });

  it('forgotten: an accepted job is unknown, or refused when submitted again', () => {
    accept();
    answer('poll', 404);
    answer('submit', 400);
    answer('submit', 422);
    assert.deepEqual(rules(), ['forgotten', 'forgotten', 'forgotten']);
  });

  it('forgotten: no question is answered for 75 s after the troubles', () => {
    accept({ cpus: 8 });
    start('i-1');
    const ask = (s: number) => {
      for (let n = 0; n < s; n += 5) {
        now += 5000;
        answer('poll', 503);
      }
    };
    ask(200);
    assert.deepEqual(rules(), []);
    checker.faultsEnded(now);
    ask(70);
    answer('poll', 200, 'running');
    ask(70);
    assert.deepEqual(rules(), []);
    ask(10);
    assert.deepEqual(rules(), ['forgotten']);
  });

  it('invented: an answer for a job that nobody submitted', () => {
    answer('poll', 404);
    assert.deepEqual(rules(), []);
    answer('poll', 200, 'queued');
    assert.deepEqual(rules(), ['invented']);
  });

  it('not_done: a task is missing, or a service', () => {
    accept({ taskCount: 2 });
    start('i-1');
    end('i-1');
    answer('poll', 200, 'done');
    assert.deepEqual(rules(), ['not_done']);
    checker.submitted(jobOf({ id: 'j-svc', kind: 'service' }));
    checker.answered({
      kind: 'poll',
      jobId: 'j-svc',
      askedAt: now,
      at: now,
      status: 200,
      body: encodeJobState('j-svc', 'done'),
    });
    assert.deepEqual(rules(), ['not_done', 'not_done']);
  });

  it('went_back: something else after done', () => {
    accept();
    start('i-1');
    end('i-1');
    answer('poll', 200, 'done');
    now += 1000;
    answer('poll', 200, 'running');
    assert.deepEqual(rules(), ['went_back']);
  });

  it('went_back: cancelled and done, whoever asked first', () => {
    accept();
    start('i-1');
    end('i-1');
    checker.cancelAsked(now, jobId);
    const askedAt = now - 50;
    answer('poll', 200, 'done');
    answer('cancel', 200, 'cancelled', askedAt);
    assert.deepEqual(rules(), ['went_back']);
  });

  it('went_back: something else after cancelled, also at a repeated submission', () => {
    accept();
    cancel();
    answer('submit', 200, 'queued');
    assert.deepEqual(rules(), ['went_back']);
  });

  it('went_back: cancelled, though not by its user', () => {
    accept();
    answer('poll', 200, 'cancelled');
    assert.deepEqual(rules(), ['went_back']);
  });

  it('wrongly_accepted: a job that can never run', () => {
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
      const told = { kind: 'submit' as const, jobId: `j-${n}`, askedAt: now, at: now, status: 201 };
      checker.answered({ ...told, body: encodeJobState(told.jobId, 'queued') });
      assert.equal(rules().length, n + 1, JSON.stringify(fields));
    });
    assert.ok(rules().every((rule) => rule === 'wrongly_accepted'));
  });

  it('wrongly_accepted: each field that is missing or invalid, but null may be left out', () => {
    accept({ machineTypes: undefined, zone: null, deadlineS: undefined });
    assert.deepEqual(rules(), []);
    const names = Object.keys(DEFAULT_SUBMISSION).filter((name) => name !== 'id');
    for (const name of names) {
      [undefined, null, {}].forEach((value, n) => {
        checker.submitted(encodeSubmission({ ...DEFAULT_SUBMISSION, id: `j-${name}-${n}`, [name]: value }));
        const told = { kind: 'submit' as const, jobId: `j-${name}-${n}`, askedAt: now, at: now, status: 201 };
        checker.answered({ ...told, body: encodeJobState(told.jobId, 'queued') });
      });
    }
    assert.equal(rules().length, names.length * 3);
    // A repeat of an accepted job gets its state, whatever it looks like.
    checker.submitted(encodeSubmission({ id: jobId }));
    answer('submit', 200, 'queued');
    assert.equal(rules().length, names.length * 3);
  });

  it('left_waiting: 90 s after the troubles, with room and the limit free', () => {
    accept();
    pass(200);
    assert.deepEqual(rules(), []);
    checker.faultsEnded(now);
    pass(89);
    assert.deepEqual(rules(), []);
    pass(2);
    assert.deepEqual(rules(), ['left_waiting']);
  });

  it('left_waiting only if there is room: free machines that fit and can be reached, under the limit', () => {
    accept({ cpus: 6 });
    checker.faultsEnded(now);
    checker.submitted(jobOf({ id: 'j-000002', team: 'blue', cpus: 4 }));
    checker.submitted(jobOf({ id: 'j-000003', cpus: 4 }));
    start('i-1', 0, now, 'j-000002');
    checker.machineUsable('i-2', false);
    pass(100);
    checker.machineUsable('i-2', true);
    start('i-1', 0, now, 'j-000003');
    pass(100);
    assert.deepEqual(rules(), [], 'first there was no machine, then the team was at its limit');
    checker.taskEnded(now, 'i-1', 'j-000003/0', 'done');
    pass(91);
    assert.deepEqual(rules(), ['left_waiting']);
  });

  it('left_waiting of a gang only if there is room for all of it, in its zones', () => {
    accept({ team: 'blue', kind: 'gang', taskCount: 8, cpus: 2, singleZone: true });
    checker.faultsEnded(now);
    pass(100);
    assert.deepEqual(rules(), [], 'four fit in each zone');
    checker.machineUp('i-3', { machineType: 'c8', zone: 'b', isSpot: false });
    pass(91);
    assert.deepEqual(rules(), ['left_waiting']);
  });
});

describe('a cluster feeds its checker', () => {
  it('with what its workers really run, whoever told them to, and with what its users were really told', async () => {
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
    assert.equal(cluster.verdict().length, 2);
  });
});
