/**
 * Compares what is recorded for a machine with what its worker shows. Pure and level-triggered: the same inputs give the same
 * plan, however often it is made.
 */
import type { PlacedTask } from '../records/cluster-state.js';
import type { TaskEnding } from '../records/placement-mutations.js';
import type { ReleaseProof } from '../records/placement-rules.js';
import { attemptKeyFrom, attemptKeyOf, taskIdOfPlaced } from './attempt-key.js';
import type { ReportedTask, WorkerCommand } from './worker-wire-codec.js';

/** A task that is recorded on the machine, and what is to become of it. */
export interface DesiredTask {
  placedTask: PlacedTask;
  /** The job is cancelled: nothing of it is of use any more. */
  isCancelled: boolean;
  /** A member of a gang may come here again under the same attempt. */
  isInGang: boolean;
}

/** The newest status of a worker, and which launches may still arrive there. */
export interface WorkerView {
  readonly agentEpoch: number;
  /** Highest fencing token that the worker has shown. */
  readonly fencingToken: number;
  /** By task id. */
  readonly tasks: ReadonlyMap<string, ReportedTask>;
  readonly launches: {
    /** May a launch of the attempt still arrive, by whatever way? */
    has(attemptKey: string): boolean;
    /** Was a launch of the attempt sent directly, and not answered yet? */
    isUnanswered(attemptKey: string): boolean;
  };
}

/** What this node may have the worker do. */
export interface CommandRights {
  fencingToken: number;
  /** The placements are known up to the takeover, and the store confirmed it just now: launches are allowed. */
  canLaunch: boolean;
  /** The placements are known up to the takeover: tasks without one are strays. */
  knowsAllPlacements: boolean;
  /** Commands go in the answer to a heartbeat: only there may an exit be forgotten. */
  isHeartbeatAnswer: boolean;
}

/** A placement that can be released, the proof, and how its task ended. */
export interface PlacementRelease {
  placedTask: PlacedTask;
  proof: ReleaseProof;
  ending: TaskEnding;
  /** The exited task; undefined: the proof is not its exit. */
  task: ReportedTask | undefined;
}

/** What a reconciliation asks for. Commands are to be executed in order. */
export interface ReconciliationPlan {
  commands: WorkerCommand[];
  releases: PlacementRelease[];
  /** There are exits that can't be forgotten, or placements that can't be released, before the fencing token is advanced. */
  needsNewToken: boolean;
}

/** What one task asks for. */
type ReconciliationStep =
  { kind: 'send'; command: WorkerCommand } | { kind: 'release'; release: PlacementRelease } | { kind: 'advance_token' };

const ADVANCE_TOKEN: ReconciliationStep = { kind: 'advance_token' };

/** `desired` holds all tasks that are recorded on the worker's machine, by task id. */
export function reconcile(
  worker: WorkerView,
  desired: ReadonlyMap<string, DesiredTask>,
  rights: CommandRights,
): ReconciliationPlan {
  const plan: ReconciliationPlan = { commands: [], releases: [], needsNewToken: false };
  // Kills and forgets come before launches: another attempt that is still there would refuse its successor.
  for (const [taskId, task] of worker.tasks) {
    const desiredTask = desired.get(taskId);
    const step = isWanted(worker, task, desiredTask)
      ? stopIfUnwanted(taskId, task, desiredTask)
      : removeStray(worker, taskId, task, rights);
    addStep(plan, step);
  }
  for (const [taskId, desiredTask] of desired) {
    const release = findProof(worker, desiredTask, rights.fencingToken);
    if (release !== undefined) addStep(plan, { kind: 'release', release });
    else if (isMissing(worker, taskId, desiredTask)) addStep(plan, launchOrExclude(worker, desiredTask, rights));
  }
  return plan;
}

/**
 * The proof, as far as the worker's own statuses give one, that a placement can be released. It holds only as long as these
 * statuses are the newest: a gang's attempt may be placed on the same machine once more, and then an earlier exit says nothing
 * of it.
 */
export function findProof(
  worker: WorkerView,
  desiredTask: DesiredTask,
  fencingToken: number,
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
    // A status from before the takeover may tell of a member's first end, when it has been placed here once more since.
    const isOld = desiredTask.isInGang && worker.fencingToken < fencingToken;
    return task.state !== 'exited' || isOld ? undefined : { placedTask, proof, ending: endingOf(task), task };
  }
  if (!isToBeStopped(desiredTask) || !isAbsenceFinal(worker, attemptKeyOf(placedTask), fencingToken)) return undefined;
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
  }
}

/** Is this attempt recorded on the machine, in the worker's present agent epoch? */
function isWanted(
  worker: WorkerView,
  task: ReportedTask,
  desiredTask: DesiredTask | undefined,
): desiredTask is DesiredTask {
  const placement = desiredTask?.placedTask.placement;
  return placement?.attempt === task.attempt && placement.agentEpoch === worker.agentEpoch;
}

/** A placement of the worker's present agent epoch, of which its newest status shows nothing. */
function isMissing(worker: WorkerView, taskId: string, { placedTask: { placement } }: DesiredTask): boolean {
  return placement.agentEpoch === worker.agentEpoch && worker.tasks.get(taskId)?.attempt !== placement.attempt;
}

const isToBeStopped = ({ placedTask, isCancelled }: DesiredTask): boolean =>
  isCancelled || placedTask.placement.gracePeriodS !== null;

/** Is it certain that a launch of this attempt, absent from the newest status, won't come any more? */
const isAbsenceFinal = (worker: WorkerView, attemptKey: string, fencingToken: number): boolean =>
  worker.fencingToken === fencingToken && !worker.launches.has(attemptKey);

function endingOf(task: ReportedTask): TaskEnding {
  if (task.exitReason === 'done') return 'done';
  return task.exitReason === 'error' || task.exitReason === 'unknown' ? 'failed' : 'lost';
}

function stopIfUnwanted(
  taskId: string,
  { attempt, state }: ReportedTask,
  { placedTask, isCancelled }: DesiredTask,
): ReconciliationStep | undefined {
  const gracePeriodS = isCancelled ? 0 : placedTask.placement.gracePeriodS;
  if (state === 'exited' || gracePeriodS === null) return undefined;
  if (state === 'checkpointing' && gracePeriodS > 0) return undefined;
  return { kind: 'send', command: { kind: 'kill', taskId, attempt, gracePeriodS } };
}

/** The task is not recorded on this machine: it is killed, and its exit forgotten. */
function removeStray(
  worker: WorkerView,
  taskId: string,
  { attempt, state }: ReportedTask,
  rights: CommandRights,
): ReconciliationStep | undefined {
  if (!rights.knowsAllPlacements) return undefined;
  if (state !== 'exited') return { kind: 'send', command: { kind: 'kill', taskId, attempt, gracePeriodS: 0 } };
  if (!rights.isHeartbeatAnswer) return undefined;
  // Late copies of a launch restart a forgotten task: first it must be certain that none is left.
  if (worker.launches.isUnanswered(attemptKeyFrom(taskId, attempt))) return ADVANCE_TOKEN;
  return { kind: 'send', command: { kind: 'forget', taskId, attempt } };
}

/** Launches a missing task; one that is to be stopped has its launch shut out, if that may still arrive. */
function launchOrExclude(
  worker: WorkerView,
  desiredTask: DesiredTask,
  { canLaunch }: CommandRights,
): ReconciliationStep | undefined {
  const { placedTask } = desiredTask;
  if (isToBeStopped(desiredTask)) {
    return worker.launches.isUnanswered(attemptKeyOf(placedTask)) ? ADVANCE_TOKEN : undefined;
  }
  // Another attempt that is still there refuses this one (`already_present`): it is killed or forgotten first.
  const taskId = taskIdOfPlaced(placedTask);
  const present = worker.tasks.get(taskId);
  const isClear = present === undefined || present.state === 'exited';
  if (!canLaunch || !isClear) return undefined;
  return { kind: 'send', command: { kind: 'launch', taskId, attempt: placedTask.placement.attempt } };
}
