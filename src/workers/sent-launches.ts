import { type Count, maxCount } from '../domain/count.js';
import type { TaskAttempt } from './attempt-key.js';
import { LaunchesByTask } from './launches-by-task.js';

/** A launch that was sent in a request to `/commands`. */
interface RequestedLaunch extends TaskAttempt {
  /** The fencing token of the request. */
  readonly fencingToken: Count;
  /** The request has no answer yet. */
  isUnanswered: boolean;
}

/** A launch that was sent in the response to a heartbeat. */
interface LaunchInResponse extends TaskAttempt {
  /** Sequence number of that heartbeat. */
  readonly sequence: Count;
}

/** The part of a worker's newest status that affects the launches sent to it. */
interface ReportedStatus {
  /** Highest fencing token that the worker has reported. */
  fencingToken: Count;
  sequence: Count;
  /** Whether the status came in a heartbeat, not in a command response. */
  isHeartbeat: boolean;
}

/**
 * The launches that were sent to a worker in its present agent epoch, and the one decision on which of them can have no
 * effect any more. A request to `/commands` may reach the worker any number of times, however long ago it was answered. The
 * worker ignores a copy only if it has seen a higher fencing token, is in a later agent epoch, or still knows the attempt.
 * A response to a heartbeat has no effect once the worker has sent the next heartbeat.
 */
export class SentLaunches {
  /** Monotonic ms since when a launch of a cancelled task may arrive; undefined if none may. */
  cancelledLaunchSince: number | undefined;
  private reportedToken: Count = -Infinity;
  private readonly requested = new LaunchesByTask<RequestedLaunch>();
  private readonly inResponses = new LaunchesByTask<LaunchInResponse>();

  /**
   * @param unrecordedToken the highest fencing token under which launches may have been requested that are not recorded here;
   * those of former leaders have lower tokens than any command of this node
   */
  constructor(private readonly unrecordedToken: Count = -Infinity) {}

  /** The highest fencing token under which a launch may have been requested. */
  get highestToken(): Count {
    let highest = this.unrecordedToken;
    for (const { fencingToken } of this.requested.all()) highest = maxCount(highest, fencingToken);
    return highest;
  }

  /** Whether a launch of the attempt was sent, and neither its answer nor a later heartbeat has arrived. */
  isInFlight({ taskId, attempt }: TaskAttempt): boolean {
    return (
      this.requested.of(taskId).some((each) => each.isUnanswered && each.attempt === attempt) ||
      this.inResponses.of(taskId).some((each) => each.attempt === attempt)
    );
  }

  /** Whether a launch of the attempt may have been requested under this fencing token or a higher one. */
  mayBeRequestedSince(fencingToken: Count, { taskId, attempt }: TaskAttempt): boolean {
    return this.isAnyRequestedSince(fencingToken, taskId, (each) => each.attempt === attempt);
  }

  /**
   * Whether a worker that has seen this fencing token executes no launch of the attempt that was sent so far, even if it does
   * not know the attempt. Whatever makes the worker forget an attempt, or relies on the attempt's absence, depends on this.
   */
  isRuledOut({ taskId, attempt }: TaskAttempt, fencingToken: Count): boolean {
    return this.areRuledOut(taskId, fencingToken, (each) => each.attempt === attempt);
  }

  /** Like `isRuledOut`, for all other attempts of the task: a worker may know only one of them. */
  areOtherAttemptsRuledOut({ taskId, attempt }: TaskAttempt, fencingToken: Count): boolean {
    return this.areRuledOut(taskId, fencingToken, (each) => each.attempt !== attempt);
  }

  private areRuledOut(taskId: string, fencingToken: Count, concerns: (launch: TaskAttempt) => boolean): boolean {
    return !this.isAnyRequestedSince(fencingToken, taskId, concerns) && !this.inResponses.of(taskId).some(concerns);
  }

  private isAnyRequestedSince(
    fencingToken: Count,
    taskId: string,
    concerns: (launch: TaskAttempt) => boolean,
  ): boolean {
    if (this.unrecordedToken >= fencingToken) return true;
    return this.requested.of(taskId).some((each) => each.fencingToken >= fencingToken && concerns(each));
  }

  /** Records that a launch is sent in a request under this token. */
  recordRequest({ taskId, attempt }: TaskAttempt, fencingToken: Count): void {
    this.requested.add({ taskId, attempt, fencingToken, isUnanswered: true });
  }

  /** Records that the request under this token was answered: copies of it may still arrive. */
  markAnswered({ taskId, attempt }: TaskAttempt, fencingToken: Count): void {
    for (const each of this.requested.of(taskId))
      if (each.attempt === attempt && each.fencingToken === fencingToken) each.isUnanswered = false;
  }

  /** Records that the unanswered request under this token was refused, or never reached the worker. */
  markNotExecuted({ taskId, attempt }: TaskAttempt, fencingToken: Count): void {
    this.requested.removeOf(
      taskId,
      (each) => each.isUnanswered && each.attempt === attempt && each.fencingToken === fencingToken,
    );
  }

  /** Records that a launch is sent in the response to the heartbeat with this sequence number. */
  recordInHeartbeatResponse({ taskId, attempt }: TaskAttempt, sequence: Count): void {
    this.inResponses.add({ taskId, attempt, sequence });
  }

  /**
   * Applies a newer status: from now on the worker refuses launches with a lower token, and drops responses to older
   * heartbeats.
   */
  applyStatus({ fencingToken, sequence, isHeartbeat }: ReportedStatus): void {
    if (fencingToken > this.reportedToken) this.requested.remove((each) => each.fencingToken < fencingToken);
    this.reportedToken = fencingToken;
    if (isHeartbeat) this.inResponses.remove((each) => each.sequence < sequence);
  }

  /** Removes all launches when a new agent epoch begins, which refuses everything sent to the former one. */
  clear(): void {
    this.requested.clear();
    this.inResponses.clear();
  }
}
