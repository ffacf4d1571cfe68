import type { Place } from '../ledger/book.js';
import { shardName } from '../ledger/records.js';
import type { Ending } from '../ledger/edits.js';
import type { Proof } from '../ledger/rules.js';
import type { Order, ReportedTask } from './report.js';
import type { Worker } from './worker.js';

export interface Desired {
  place: Place;
  /** The job is withdrawn: nothing of it is of use any more. */
  withdrawn: boolean;
  /** A member of a gang may come here again under the same attempt. */
  inGang: boolean;
}

export interface Free {
  place: Place;
  proof: Proof;
  ending: Ending;
  task: ReportedTask | undefined;
}

export interface Plan {
  orders: Order[];
  frees: Free[];
  /** Exits that can't be forgotten, or places that can't be freed, before the fence is raised. */
  needsRaise: boolean;
}

export interface Rights {
  fence: number;
  /** The ledger is known up to the claim, and the store confirmed it just now: launches are allowed. */
  mayLaunch: boolean;
  /** The ledger is known up to the claim: tasks without a place in it are strays. */
  mayJudge: boolean;
  /** Orders go in a report's answer: only there may an exit be forgotten. */
  inAnswer: boolean;
}

const endingOf = (task: ReportedTask): Ending => {
  if (task.cause === 'done') return 'done';
  return task.cause === 'error' || task.cause === 'unknown' ? 'failed' : 'lost';
};

/**
 * The proof, as far as the worker's own reports give one, that a place is free. It holds only as long as these reports are the
 * newest: a gang's attempt may be placed on the same machine once more, and then an earlier exit says nothing of it.
 */
export function findProof(worker: Worker, { place, withdrawn, inGang }: Desired, fence: number): Free | undefined {
  const { slot } = place;
  if (slot.tenure < worker.tenure) {
    return { place, proof: { kind: 'tenure', tenure: worker.tenure }, ending: 'lost', task: undefined };
  }
  if (slot.tenure > worker.tenure) return undefined;
  const proof: Proof = { kind: 'exited', attempt: slot.attempt, tenure: slot.tenure };
  const task = worker.tasks.get(nameOfPlace(place));
  if (task?.attempt === slot.attempt) {
    // A report from before the claim may tell of a member's first end, when it has been placed here once more since.
    const isOld = inGang && worker.fence < fence;
    return task.phase !== 'exited' || isOld ? undefined : { place, proof, ending: endingOf(task), task };
  }
  const isUnwanted = withdrawn || slot.stop !== null;
  if (!isUnwanted || !worker.isAbsenceFinal(attemptOf(place), fence)) return undefined;
  return { place, proof, ending: 'lost', task: undefined };
}

/** Compares what the ledger wants on a machine with what its worker reports. Pure, and level-triggered. */
export function reconcile(worker: Worker, desired: Map<string, Desired>, rights: Rights): Plan {
  const plan: Plan = { orders: [], frees: [], needsRaise: false };
  for (const [name, task] of worker.tasks) {
    const want = desired.get(name);
    const slot = want?.place.slot;
    const isWanted = want !== undefined && slot?.attempt === task.attempt && slot.tenure === worker.tenure;
    if (isWanted) stopIfUnwanted(plan, name, task, want);
    else removeStray(plan, worker, name, task, rights);
  }
  const launches: Order[] = [];
  for (const [name, want] of desired) {
    const free = findProof(worker, want, rights.fence);
    if (free !== undefined) plan.frees.push(free);
    else if (isMissing(worker, name, want)) launchOrExclude(plan, launches, worker, name, want, rights);
  }
  plan.orders.push(...launches);
  return plan;
}

/** A place of the worker's present session, of which its last report shows nothing. */
function isMissing(worker: Worker, name: string, { place: { slot } }: Desired): boolean {
  return slot.tenure === worker.tenure && worker.tasks.get(name)?.attempt !== slot.attempt;
}

function stopIfUnwanted(plan: Plan, name: string, task: ReportedTask, { place, withdrawn }: Desired): void {
  const grace = withdrawn ? 0 : place.slot.stop;
  if (task.phase === 'exited' || grace === null || (task.phase === 'flushing' && grace > 0)) return;
  plan.orders.push({ verb: 'kill', shard: name, attempt: task.attempt, grace });
}

/** The ledger gives the task no place here: it is killed, and its exit forgotten. */
function removeStray(plan: Plan, worker: Worker, name: string, task: ReportedTask, rights: Rights): void {
  if (!rights.mayJudge) return;
  if (task.phase !== 'exited') {
    plan.orders.push({ verb: 'kill', shard: name, attempt: task.attempt, grace: 0 });
    return;
  }
  if (!rights.inAnswer) return;
  // Late copies of a launch restart a forgotten task: first it must be certain that none is left.
  if (worker.openCommands.has(`${name}#${task.attempt}`)) plan.needsRaise = true;
  else plan.orders.push({ verb: 'forget', shard: name, attempt: task.attempt });
}

function launchOrExclude(
  plan: Plan,
  launches: Order[],
  worker: Worker,
  name: string,
  { place, withdrawn }: Desired,
  rights: Rights,
): void {
  const { slot } = place;
  if (withdrawn || slot.stop !== null) {
    if (worker.openCommands.has(attemptOf(place))) plan.needsRaise = true;
    return;
  }
  // Another attempt still there refuses this one (`in_use`): it is killed or forgotten first.
  const present = worker.tasks.get(name);
  const isClear = present === undefined || present.phase === 'exited';
  if (rights.mayLaunch && isClear) launches.push({ verb: 'launch', shard: name, attempt: slot.attempt });
}

export const keyOf = (order: Order): string => `${order.shard}#${order.attempt}`;
/** One start of a shard, as orders and workers name it. */
export const attemptOf = (place: Place): string => `${nameOfPlace(place)}#${place.slot.attempt}`;
export const nameOfPlace = (place: Place): string => shardName(place.ref, place.shard);
