import type { Clock } from '../src/net/clock.js';
import type { JobDescription, FakeWorker } from './fake-worker.js';

interface Gang {
  job: JobDescription;
  members: Map<string, FakeWorker>;
  state: 'waiting' | 'running' | 'stopping' | 'broken';
  /** Members that were told to stop in time to save. */
  told: Set<string>;
}

/** How the tasks of a gang find each other, start, end and stop together, by the protocol's words. */
export class FakeGangs {
  private readonly gangs = new Map<string, Gang>();

  constructor(
    private readonly clock: Clock,
    readonly waitMs: number,
    private readonly peerMs: number,
  ) {}

  private static key(taskId: string, attempt: number): string {
    return `${taskId.slice(0, taskId.lastIndexOf('/'))} ${attempt}`;
  }

  /** A task has its image and waits for the others of its attempt; the last one starts them all. */
  join(worker: FakeWorker, taskId: string, attempt: number, job: JobDescription): void {
    const key = FakeGangs.key(taskId, attempt);
    let gang = this.gangs.get(key);
    if (gang === undefined || gang.members.size === 0) {
      gang = { job, members: new Map(), state: 'waiting', told: new Set() };
      this.gangs.set(key, gang);
    }
    gang.members.set(taskId, worker);
    if (gang.state !== 'waiting' || gang.members.size < job.taskCount) return;
    gang.state = 'running';
    let runMs = 0;
    for (const [name, member] of gang.members) {
      member.run(name);
      runMs = Math.max(runMs, member.runMs(name));
    }
    if (runMs === Infinity) return;
    void this.clock.sleep(runMs).then(() => {
      if (gang.state === 'running') this.endAll(gang, 'done');
    });
  }

  /** A task has ended, for whatever reason. */
  left(taskId: string, attempt: number): void {
    const gang = this.gangs.get(FakeGangs.key(taskId, attempt));
    if (gang?.members.delete(taskId) !== true) return;
    if (gang.state === 'running' || gang.state === 'stopping') this.breakUp(gang);
  }

  /** A task's machine hangs: the others notice, unless it goes on before. */
  hung(worker: FakeWorker, taskId: string, attempt: number): void {
    const gang = this.gangs.get(FakeGangs.key(taskId, attempt));
    if (gang === undefined) return;
    void this.clock.sleep(this.peerMs / 2).then(() => {
      if (worker.hangs && gang.state === 'running' && gang.members.has(taskId)) this.breakUp(gang);
    });
  }

  /** A running task is told to stop with time to save; the save needs all to be told in time. */
  stop(taskId: string, attempt: number): void {
    const gang = this.gangs.get(FakeGangs.key(taskId, attempt));
    if (gang === undefined || gang.state === 'broken') return;
    gang.told.add(taskId);
    if (gang.state === 'running') {
      gang.state = 'stopping';
      void this.clock.sleep(this.peerMs).then(() => {
        if (gang.state === 'stopping' && gang.told.size < gang.job.taskCount) this.breakUp(gang);
      });
    }
    if (gang.told.size < gang.job.taskCount) return;
    void this.clock.sleep(gang.job.checkpointS * 1000).then(() => {
      if (gang.state === 'stopping') this.endAll(gang, 'stopped', true);
    });
  }

  /** The rest notice within a while and go. */
  private breakUp(gang: Gang): void {
    gang.state = 'broken';
    void this.clock.sleep(this.peerMs / 2).then(() => this.endAll(gang, 'peers'));
  }

  private endAll(gang: Gang, cause: string, saved?: boolean): void {
    gang.state = 'broken';
    // A member that hangs notices nothing.
    for (const [taskId, worker] of [...gang.members]) {
      if (!worker.hangs) worker.end(taskId, gang.told.has(taskId) && cause === 'peers' ? 'stopped' : cause, saved);
    }
  }
}
