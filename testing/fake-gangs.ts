/** Coordinates the tasks of a gang, which start, end and checkpoint together. */
import type { Clock } from '../src/net/clock.js';
import type { ExitReason } from './fake-worker-wire-codec.js';
import { jobIdOf } from './task-id.js';

/** The part of a job that its gang needs. */
export interface GangJob {
  taskCount: number;
  checkpointS: number;
}

/** The worker on which a member of a gang runs. */
export interface GangHost {
  readonly isSuspended: boolean;
  /** Runs the member from now on. */
  run(taskId: string): void;
  /** How long the member would run on its own. */
  runMs(taskId: string): number;
  end(taskId: string, reason: ExitReason, isCheckpointed?: boolean): void;
}

interface Gang {
  job: GangJob;
  members: Map<string, GangHost>;
  state: 'waiting' | 'running' | 'stopping' | 'broken';
  /** Members that have been commanded to stop with time for a checkpoint. */
  stopping: Set<string>;
}

/** The gangs of all workers of a scenario. */
export class FakeGangs {
  private readonly gangs = new Map<string, Gang>();

  constructor(
    private readonly clock: Clock,
    /** ms for which a member waits for the others before it gives up. */
    readonly memberWaitMs: number,
    /** ms within which the members detect the loss of another. */
    private readonly peerLossDetectionMs: number,
  ) {}

  private static key(taskId: string, attempt: number): string {
    return `${jobIdOf(taskId)} ${attempt}`;
  }

  /** A task has its image and waits for the others of its attempt; the last to join starts them all. */
  join(host: GangHost, taskId: string, attempt: number, job: GangJob): void {
    const key = FakeGangs.key(taskId, attempt);
    let gang = this.gangs.get(key);
    if (gang === undefined || gang.members.size === 0) {
      gang = { job, members: new Map(), state: 'waiting', stopping: new Set() };
      this.gangs.set(key, gang);
    }
    gang.members.set(taskId, host);
    if (gang.state === 'waiting' && gang.members.size >= job.taskCount) this.startAll(gang);
  }

  private startAll(gang: Gang): void {
    gang.state = 'running';
    let runMs = 0;
    for (const [taskId, host] of gang.members) {
      host.run(taskId);
      runMs = Math.max(runMs, host.runMs(taskId));
    }
    if (runMs === Infinity) return;
    void this.clock.sleep(runMs).then(() => {
      if (gang.state === 'running') this.endAll(gang, 'done');
    });
  }

  /** A task has ended, for whatever reason. */
  leave(taskId: string, attempt: number): void {
    const gang = this.gangs.get(FakeGangs.key(taskId, attempt));
    if (gang?.members.delete(taskId) !== true) return;
    if (gang.state === 'running' || gang.state === 'stopping') this.breakUp(gang);
  }

  /** A task's machine is suspended: the others detect it, unless it resumes in time. */
  suspend(host: GangHost, taskId: string, attempt: number): void {
    const gang = this.gangs.get(FakeGangs.key(taskId, attempt));
    if (gang === undefined) return;
    void this.clock.sleep(this.peerLossDetectionMs / 2).then(() => {
      if (host.isSuspended && gang.state === 'running' && gang.members.has(taskId)) this.breakUp(gang);
    });
  }

  /** Stops a running task with time for a checkpoint; there is one only if all members are stopped in time. */
  stop(taskId: string, attempt: number): void {
    const gang = this.gangs.get(FakeGangs.key(taskId, attempt));
    if (gang === undefined || gang.state === 'broken') return;
    gang.stopping.add(taskId);
    if (gang.state === 'running') {
      gang.state = 'stopping';
      void this.clock.sleep(this.peerLossDetectionMs).then(() => {
        if (gang.state === 'stopping' && gang.stopping.size < gang.job.taskCount) this.breakUp(gang);
      });
    }
    if (gang.stopping.size < gang.job.taskCount) return;
    void this.clock.sleep(gang.job.checkpointS * 1000).then(() => {
      if (gang.state === 'stopping') this.endAll(gang, 'stopped', true);
    });
  }

  /** The remaining members detect the loss after a while and exit. */
  private breakUp(gang: Gang): void {
    gang.state = 'broken';
    void this.clock.sleep(this.peerLossDetectionMs / 2).then(() => this.endAll(gang, 'peer_lost'));
  }

  private endAll(gang: Gang, reason: ExitReason, isCheckpointed?: boolean): void {
    gang.state = 'broken';
    // A suspended member detects nothing.
    for (const [taskId, host] of [...gang.members]) {
      const exitReason = gang.stopping.has(taskId) && reason === 'peer_lost' ? 'stopped' : reason;
      if (!host.isSuspended) host.end(taskId, exitReason, isCheckpointed);
    }
  }
}
