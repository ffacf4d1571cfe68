/**
 * Compares the placements recorded for a machine with the status that its worker reports. Pure and level-triggered: the
 * same inputs give the same plan, however often it is made.
 */
import type { Count } from '../domain/count.js';
import type { PlacedTask } from '../records/cluster-state.js';
import type { TaskEnding } from '../records/placement-mutations.js';
import type { ReleaseProof } from '../records/placement-rules.js';
import { attemptOf, type TaskAttempt, taskIdOfPlaced } from './attempt-key.js';
import { tasksWithoutReportSpace } from './report-space.js';
import type { ReportedTask, WorkerCommand } from './worker-wire-codec.js';

/** A task that is recorded on the machine, and its desired state. */
export interface DesiredTask {
  placedTask: PlacedTask;
  /** The job is cancelled: the task's results are not needed any more. */
  isCancelled: boolean;
  /** The task is a gang member, which may be placed here again with the same attempt number. */
  isInGang: boolean;
}

/** The newest status of a worker, and the launches that may still arrive there. */
export interface WorkerView {
  readonly agentEpoch: Count;
  /** Highest fencing token that the worker has reported. */
  readonly fencingToken: Count;
  /** By task id. */
  readonly tasks: ReadonlyMap<string, ReportedTask>;
  readonly launches: {
    /** Whether a worker that has seen this token executes no launch of the attempt that was sent so far. */
    isRuledOut(launch: TaskAttempt, fencingToken: Count): boolean;
    /** The same for all other attempts of the task. */
    areOtherAttemptsRuledOut(launch: TaskAttempt, fencingToken: Count): boolean;
    /** Whether a launch of the attempt may have been requested under this token or a higher one. */
    mayBeRequestedSince(fencingToken: Count, launch: TaskAttempt): boolean;
  };
}

/** Which commands this node may send to the worker now. */
export interface CommandPermissions {
  fencingToken: Count;
  /** The placements up to the takeover are known and the store has just confirmed them, so launches are allowed. */
  canLaunch: boolean;
  /** The placements up to the takeover are known, so a task without one does not belong on the machine. */
  knowsAllPlacements: boolean;
  /** The commands go into a heartbeat response: only there may an exit be forgotten. */
  isHeartbeatResponse: boolean;
}

/** A placement that can be released, with the proof and how its task ended. */
export interface PlacementRelease {
  placedTask: PlacedTask;
  proof: ReleaseProof;
  ending: TaskEnding;
  /** The exited task; undefined if its exit is not the proof. */
  task: ReportedTask | undefined;
}

/** The actions that a reconciliation requires. Commands must be executed in order. */
export interface ReconciliationPlan {
  commands: WorkerCommand[];
  releases: PlacementRelease[];
  /** A launch or a release has to wait until the fencing token is advanced. */
  needsNewToken: boolean;
  /** Number of recorded exits that the worker must keep until the fencing token is advanced. */
  keptExitCount: number;
  /** Number of launches that wait for space in the worker's report. */
  heldLaunchCount: number;
}

/** The action that one task requires. */
type ReconciliationStep =
  | { kind: 'send'; command: WorkerCommand }
  | { kind: 'release'; release: PlacementRelease }
  | { kind: 'advance_token' }
  | { kind: 'keep_exit' }
  | { kind: 'hold_launch' };

const ADVANCE_TOKEN: ReconciliationStep = { kind: 'advance_token' };
const KEEP_EXIT: ReconciliationStep = { kind: 'keep_exit' };
const HOLD_LAUNCH: ReconciliationStep = { kind: 'hold_launch' };

/** @param desired all tasks that are recorded on the worker's machine, by task id */
export function reconcile(
  worker: WorkerView,
  desired: ReadonlyMap<string, DesiredTask>,
  permissions: CommandPermissions,
): ReconciliationPlan {
  const plan: ReconciliationPlan = {
    ...{ commands: [], releases: [], needsNewToken: false },
    ...{ keptExitCount: 0, heldLaunchCount: 0 },
  };
  // Kills and forgets come before launches, because a worker refuses a launch while another attempt of the task is
  // present.
  for (const [taskId, task] of worker.tasks) {
    const desiredTask = desired.get(taskId);
    const step = isRecorded(worker, task, desiredTask)
      ? stopIfRequested(taskId, task, desiredTask)
      : removeUnrecordedTask(worker, taskId, task, permissions);
    addStep(plan, step);
  }
  const missing: DesiredTask[] = [];
  for (const [taskId, desiredTask] of desired) {
    const release = findProvenRelease(worker, desiredTask, permissions.fencingToken);
    if (release !== undefined) {
      addStep(plan, { kind: 'release', release });
      if (mayReturnWithSameAttempt(worker, desiredTask, release, permissions)) addStep(plan, ADVANCE_TOKEN);
    } else if (isMissing(worker, taskId, desiredTask)) missing.push(desiredTask);
  }
  addLaunches(plan, worker, missing, permissions);
  return plan;
}

function addLaunches(
  plan: ReconciliationPlan,
  worker: WorkerView,
  missing: readonly DesiredTask[],
  permissions: CommandPermissions,
): void {
  if (missing.length === 0) return;
  const attempts = missing.map(({ placedTask }) => attemptOf(placedTask));
  const withoutSpace = tasksWithoutReportSpace(worker, attempts, permissions.fencingToken);
  for (const desiredTask of missing) {
    const step = launchOrAdvanceToken(worker, desiredTask, permissions);
    const isHeld = step?.kind === 'send' && withoutSpace.has(step.command.taskId);
    addStep(plan, isHeld ? HOLD_LAUNCH : step);
  }
  // The worker may only forget the kept exits, which makes space, under a new token.
  if (plan.heldLaunchCount > 0 && plan.keptExitCount > 0) addStep(plan, ADVANCE_TOKEN);
}

/**
 * Returns the release of a placement if the worker's own statuses prove that its task has ended. The proof holds only
 * while these statuses are the newest: a gang member may be placed on the same machine again with the same attempt
 * number, and an earlier exit says nothing about that placement.
 */
export function findProvenRelease(
  worker: WorkerView,
  desiredTask: DesiredTask,
  fencingToken: Count,
): PlacementRelease | undefined {
  const { placedTask } = desiredTask;
  const { attempt, agentEpoch } = placedTask.placement;
  if (agentEpoch > worker.agentEpoch) return undefined;
  if (agentEpoch < worker.agentEpoch) {
    return {
      placedTask,
      proof: { kind: 'newer_agent_epoch', agentEpoch: worker.agentEpoch },
      ending: 'lost',
      task: undefined,
    };
  }
  const proof: ReleaseProof = { kind: 'exited', attempt, agentEpoch };
  const task = worker.tasks.get(taskIdOfPlaced(placedTask));
  if (task?.attempt === attempt) {
    // A status from before the takeover may report a gang member's first exit although it has been placed here again
    // since.
    const mayBePreviousRun = desiredTask.isInGang && worker.fencingToken < fencingToken;
    return task.state !== 'exited' || mayBePreviousRun
      ? undefined
      : { placedTask, proof, ending: endingOf(task), task };
  }
  if (!mustStop(desiredTask) || !isLaunchRuledOut(worker, attemptOf(placedTask), fencingToken)) return undefined;
  return { placedTask, proof, ending: 'lost', task: undefined };
}

function addStep(plan: ReconciliationPlan, step: ReconciliationStep | undefined): void {
  if (step === undefined) return;
  switch (step.kind) {
    case 'send':
      plan.commands.push(step.command);
      break;
    case 'release':
      plan.releases.push(step.release);
      break;
    case 'advance_token':
      plan.needsNewToken = true;
      break;
    case 'keep_exit':
      plan.keptExitCount++;
      break;
    case 'hold_launch':
      plan.heldLaunchCount++;
      break;
  }
}

/** Whether this attempt is recorded on the machine in the worker's present agent epoch. */
function isRecorded(
  worker: WorkerView,
  task: ReportedTask,
  desiredTask: DesiredTask | undefined,
): desiredTask is DesiredTask {
  const placement = desiredTask?.placedTask.placement;
  return placement?.attempt === task.attempt && placement.agentEpoch === worker.agentEpoch;
}

/** Whether the worker's newest status lacks a placement of its present agent epoch. */
function isMissing(worker: WorkerView, taskId: string, { placedTask: { placement } }: DesiredTask): boolean {
  return placement.agentEpoch === worker.agentEpoch && worker.tasks.get(taskId)?.attempt !== placement.attempt;
}

const mustStop = ({ placedTask, isCancelled }: DesiredTask): boolean =>
  isCancelled || placedTask.placement.gracePeriodS !== null;

/** Whether a launch of this attempt, which is absent from the newest status, can certainly have no effect any more. */
const isLaunchRuledOut = (worker: WorkerView, launch: TaskAttempt, fencingToken: Count): boolean =>
  worker.fencingToken === fencingToken && worker.launches.isRuledOut(launch, worker.fencingToken);

/**
 * Whether the released task may be placed here again with its attempt number, which the worker has to forget first, and can't
 * under the present token.
 */
const mayReturnWithSameAttempt = (
  worker: WorkerView,
  { isInGang }: DesiredTask,
  { placedTask, ending, task }: PlacementRelease,
  { fencingToken }: CommandPermissions,
): boolean =>
  isInGang &&
  ending !== 'done' &&
  task !== undefined &&
  worker.launches.mayBeRequestedSince(fencingToken, attemptOf(placedTask));

function endingOf(task: ReportedTask): TaskEnding {
  if (task.exitReason === 'done') return 'done';
  return task.exitReason === 'error' || task.exitReason === 'unknown' ? 'failed' : 'lost';
}

function stopIfRequested(
  taskId: string,
  { attempt, state }: ReportedTask,
  { placedTask, isCancelled }: DesiredTask,
): ReconciliationStep | undefined {
  const gracePeriodS = isCancelled ? 0 : placedTask.placement.gracePeriodS;
  if (state === 'exited' || gracePeriodS === null) return undefined;
  if (state === 'checkpointing' && gracePeriodS > 0) return undefined;
  return { kind: 'send', command: { kind: 'kill', taskId, attempt, gracePeriodS } };
}

/** Kills a task that is not recorded on this machine; once it has exited, forgets the exit. */
function removeUnrecordedTask(
  worker: WorkerView,
  taskId: string,
  { attempt, state }: ReportedTask,
  permissions: CommandPermissions,
): ReconciliationStep | undefined {
  if (!permissions.knowsAllPlacements) return undefined;
  if (state !== 'exited') return { kind: 'send', command: { kind: 'kill', taskId, attempt, gracePeriodS: 0 } };
  if (!permissions.isHeartbeatResponse) return undefined;
  if (!worker.launches.isRuledOut({ taskId, attempt }, permissions.fencingToken)) return KEEP_EXIT;
  return { kind: 'send', command: { kind: 'forget', taskId, attempt } };
}

/**
 * Launches a missing task. If the task is to be stopped and a launch sent directly may still arrive, requests a new
 * token, so that the worker refuses the launch. The worker forgets another attempt of the task that has exited, so launches
 * of that attempt must be ruled out first.
 */
function launchOrAdvanceToken(
  worker: WorkerView,
  desiredTask: DesiredTask,
  { canLaunch, fencingToken }: CommandPermissions,
): ReconciliationStep | undefined {
  const launch = attemptOf(desiredTask.placedTask);
  if (mustStop(desiredTask)) {
    return worker.launches.mayBeRequestedSince(fencingToken, launch) ? ADVANCE_TOKEN : undefined;
  }
  // The worker refuses this launch (`already_present`) while another attempt is there; that one is killed or forgotten
  // first.
  const reportedTask = worker.tasks.get(launch.taskId);
  const isLaunchPossible = reportedTask === undefined || reportedTask.state === 'exited';
  if (!canLaunch || !isLaunchPossible) return undefined;
  if (!worker.launches.areOtherAttemptsRuledOut(launch, fencingToken)) return ADVANCE_TOKEN;
  return { kind: 'send', command: { kind: 'launch', ...launch } };
}
