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

/** Compares what the ledger wants on a machine with what its worker reports. Pure, and level-triggered. */
export function reconcile(worker: Worker, desired: Map<string, Desired>, rights: Rights): Plan {
  const plan: Plan = { orders: [], frees: [], needsRaise: false };
  const launches: Order[] = [];
  const matches = (name: string, task: ReportedTask): Desired | undefined => {
    const want = desired.get(name);
    return want !== undefined && want.place.slot.attempt === task.attempt && want.place.slot.tenure === worker.tenure
      ? want
      : undefined;
  };
  for (const [name, task] of worker.tasks) {
    const want = matches(name, task);
    if (task.phase === 'exited') {
      // A report from before the claim may tell of a member's first end, when it has been placed here once more since.
      if (want?.inGang === true && worker.fence < rights.fence) continue;
      if (want !== undefined) {
        const proof: Proof = { kind: 'exited', attempt: task.attempt, tenure: worker.tenure };
        plan.frees.push({ place: want.place, proof, ending: endingOf(task), task });
      } else if (rights.inAnswer && rights.mayJudge) {
        // Late copies of a launch restart a forgotten task: first it must be certain that none is left.
        if (worker.openCommands.has(`${name}#${task.attempt}`)) plan.needsRaise = true;
        else plan.orders.push({ verb: 'forget', shard: name, attempt: task.attempt });
      }
      continue;
    }
    if (want === undefined) {
      if (rights.mayJudge) plan.orders.push({ verb: 'kill', shard: name, attempt: task.attempt, grace: 0 });
      continue;
    }
    const grace = want.withdrawn ? 0 : want.place.slot.stop;
    if (grace !== null && (task.phase !== 'flushing' || grace === 0)) {
      plan.orders.push({ verb: 'kill', shard: name, attempt: task.attempt, grace });
    }
  }
  for (const [name, want] of desired) {
    const { slot } = want.place;
    const task = worker.tasks.get(name);
    if (slot.tenure < worker.tenure) {
      plan.frees.push({
        place: want.place,
        proof: { kind: 'tenure', tenure: worker.tenure },
        ending: 'lost',
        task: undefined,
      });
      continue;
    }
    if (slot.tenure > worker.tenure || (task !== undefined && task.attempt === slot.attempt)) continue;
    const key = `${name}#${slot.attempt}`;
    if (!want.withdrawn && slot.stop === null) {
      // Another attempt still there refuses this one (`in_use`): it is killed or forgotten first, above.
      if (rights.mayLaunch && (task === undefined || task.phase === 'exited')) {
        launches.push({ verb: 'launch', shard: name, attempt: slot.attempt });
      }
    } else if (worker.isAbsenceFinal(key, rights.fence)) {
      const proof: Proof = { kind: 'exited', attempt: slot.attempt, tenure: slot.tenure };
      plan.frees.push({ place: want.place, proof, ending: 'lost', task: undefined });
    } else if (worker.openCommands.has(key)) {
      plan.needsRaise = true;
    }
  }
  plan.orders.push(...launches);
  return plan;
}

export const keyOf = (order: Order): string => `${order.shard}#${order.attempt}`;
/** One start of a shard, as orders and workers name it. */
export const attemptOf = (place: Place): string => `${nameOfPlace(place)}#${place.slot.attempt}`;
export const nameOfPlace = (place: Place): string => shardName(place.ref, place.shard);
