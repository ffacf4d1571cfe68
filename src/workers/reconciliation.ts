import type { PlacedTask } from '../records/cluster-state.js';
import type { TaskEnding } from '../records/placement-mutations.js';
import type { Proof } from '../records/placement-rules.js';
import type { WorkerCommand, ReportedTask } from './worker-wire-codec.js';
import { attemptKeyFrom, attemptKeyOf, taskIdOfPlaced } from './attempt-key.js';
import type { Worker } from './worker.js';

export interface DesiredTask {
  placedTask: PlacedTask;
  /** The job is withdrawn: nothing of it is of use any more. */
  isCancelled: boolean;
  /** A member of a gang may come here again under the same attempt. */
  isInGang: boolean;
}

export interface PlacementRelease {
  placedTask: PlacedTask;
  proof: Proof;
  ending: TaskEnding;
  task: ReportedTask | undefined;
}

export interface ReconciliationPlan {
  commands: WorkerCommand[];
  releases: PlacementRelease[];
  /** Exits that can't be forgotten, or places that can't be freed, before the fence is raised. */
  needsNewToken: boolean;
}

export interface CommandRights {
  fencingToken: number;
  /** The ledger is known up to the claim, and the store confirmed it just now: launches are allowed. */
  canLaunch: boolean;
  /** The ledger is known up to the claim: tasks without a place in it are strays. */
  knowsAllPlacements: boolean;
  /** Orders go in a report's answer: only there may an exit be forgotten. */
  isHeartbeatAnswer: boolean;
}

const endingOf = (task: ReportedTask): TaskEnding => {
  if (task.exitReason === 'done') return 'done';
  return task.exitReason === 'error' || task.exitReason === 'unknown' ? 'failed' : 'lost';
};

/**
 * The proof, as far as the worker's own reports give one, that a place is free. It holds only as long as these reports are the
 * newest: a gang's attempt may be placed on the same machine once more, and then an earlier exit says nothing of it.
 */
export function findProof(
  worker: Worker,
  { placedTask, isCancelled, isInGang }: DesiredTask,
  fencingToken: number,
): PlacementRelease | undefined {
  const { placement } = placedTask;
  if (placement.agentEpoch < worker.agentEpoch) {
    return { placedTask, proof: { kind: 'tenure', agentEpoch: worker.agentEpoch }, ending: 'lost', task: undefined };
  }
  if (placement.agentEpoch > worker.agentEpoch) return undefined;
  const proof: Proof = { kind: 'exited', attempt: placement.attempt, agentEpoch: placement.agentEpoch };
  const task = worker.tasks.get(taskIdOfPlaced(placedTask));
  if (task?.attempt === placement.attempt) {
    // A report from before the claim may tell of a member's first end, when it has been placed here once more since.
    const isOld = isInGang && worker.fencingToken < fencingToken;
    return task.state !== 'exited' || isOld ? undefined : { placedTask, proof, ending: endingOf(task), task };
  }
  const isUnwanted = isCancelled || placement.gracePeriodS !== null;
  if (!isUnwanted || !worker.isAbsenceFinal(attemptKeyOf(placedTask), fencingToken)) return undefined;
  return { placedTask, proof, ending: 'lost', task: undefined };
}

/** Compares what the ledger wants on a machine with what its worker reports. Pure, and level-triggered. */
export function reconcile(
  worker: Worker,
  desired: ReadonlyMap<string, DesiredTask>,
  rights: CommandRights,
): ReconciliationPlan {
  const plan: ReconciliationPlan = { commands: [], releases: [], needsNewToken: false };
  for (const [taskId, task] of worker.tasks) {
    const desiredTask = desired.get(taskId);
    const placement = desiredTask?.placedTask.placement;
    const isWanted =
      desiredTask !== undefined && placement?.attempt === task.attempt && placement.agentEpoch === worker.agentEpoch;
    if (isWanted) stopIfUnwanted(plan, taskId, task, desiredTask);
    else removeStray(plan, worker, taskId, task, rights);
  }
  const launches: WorkerCommand[] = [];
  for (const [taskId, desiredTask] of desired) {
    const release = findProof(worker, desiredTask, rights.fencingToken);
    if (release !== undefined) plan.releases.push(release);
    else if (isMissing(worker, taskId, desiredTask))
      launchOrExclude(plan, launches, worker, taskId, desiredTask, rights);
  }
  plan.commands.push(...launches);
  return plan;
}

/** A place of the worker's present session, of which its last report shows nothing. */
function isMissing(worker: Worker, taskId: string, { placedTask: { placement } }: DesiredTask): boolean {
  return placement.agentEpoch === worker.agentEpoch && worker.tasks.get(taskId)?.attempt !== placement.attempt;
}

function stopIfUnwanted(
  plan: ReconciliationPlan,
  taskId: string,
  task: ReportedTask,
  { placedTask, isCancelled }: DesiredTask,
): void {
  const gracePeriodS = isCancelled ? 0 : placedTask.placement.gracePeriodS;
  if (task.state === 'exited' || gracePeriodS === null || (task.state === 'checkpointing' && gracePeriodS > 0)) return;
  plan.commands.push({ kind: 'kill', taskId, attempt: task.attempt, gracePeriodS });
}

/** The ledger gives the task no place here: it is killed, and its exit forgotten. */
function removeStray(
  plan: ReconciliationPlan,
  worker: Worker,
  taskId: string,
  task: ReportedTask,
  rights: CommandRights,
): void {
  if (!rights.knowsAllPlacements) return;
  if (task.state !== 'exited') {
    plan.commands.push({ kind: 'kill', taskId, attempt: task.attempt, gracePeriodS: 0 });
    return;
  }
  if (!rights.isHeartbeatAnswer) return;
  // Late copies of a launch restart a forgotten task: first it must be certain that none is left.
  if (worker.launches.isUnanswered(attemptKeyFrom(taskId, task.attempt))) plan.needsNewToken = true;
  else plan.commands.push({ kind: 'forget', taskId, attempt: task.attempt });
}

function launchOrExclude(
  plan: ReconciliationPlan,
  launches: WorkerCommand[],
  worker: Worker,
  taskId: string,
  { placedTask, isCancelled }: DesiredTask,
  rights: CommandRights,
): void {
  const { placement } = placedTask;
  if (isCancelled || placement.gracePeriodS !== null) {
    if (worker.launches.isUnanswered(attemptKeyOf(placedTask))) plan.needsNewToken = true;
    return;
  }
  // Another attempt still there refuses this one (`in_use`): it is killed or forgotten first.
  const present = worker.tasks.get(taskId);
  const isClear = present === undefined || present.state === 'exited';
  if (rights.canLaunch && isClear) launches.push({ kind: 'launch', taskId, attempt: placement.attempt });
}
