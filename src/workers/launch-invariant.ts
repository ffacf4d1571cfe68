/**
 * Run-time check of every decision by which a worker may come to not know an attempt, or which relies on its absence: no
 * launch of the attempt that was sent may have an effect any more.
 */
import type { Count } from '../domain/count.js';
import type { Invariants } from '../logging/invariants.js';
import { attemptOf, type TaskAttempt } from './attempt-key.js';
import type { PlacementRelease, ReconciliationPlan } from './reconciliation.js';
import type { Worker } from './worker.js';
import type { WorkerCommand } from './worker-wire-codec.js';

const NO_LATE_LAUNCH = 'no launch of an attempt that a worker does not know has an effect';

/** Reports the commands and releases of the plan that a late launch could contradict. */
export function checkLaunchesRuledOut(
  worker: Worker,
  { commands, releases }: ReconciliationPlan,
  { fencingToken, invariants }: { fencingToken: Count; invariants: Invariants },
): void {
  const report = (decision: string, { taskId, attempt }: TaskAttempt): void =>
    invariants.violated(NO_LATE_LAUNCH, { decision, machineId: worker.machineId, taskId, attempt, fencingToken });
  for (const command of commands) if (!isCommandSafe(worker, command, fencingToken)) report(command.kind, command);
  for (const release of releases) {
    const launch = attemptOf(release.placedTask);
    if (restsOnAbsence(worker, release) && !worker.launches.isRuledOut(launch, worker.fencingToken))
      report('release', launch);
  }
}

function isCommandSafe({ launches }: Worker, command: WorkerCommand, fencingToken: Count): boolean {
  switch (command.kind) {
    case 'kill':
      return true;
    case 'forget':
      return launches.isRuledOut(command, fencingToken);
    case 'launch':
      return launches.areOtherAttemptsRuledOut(command, fencingToken);
  }
}

/** Whether the placement is released because the worker does not know its attempt. */
function restsOnAbsence(worker: Worker, { placedTask, proof }: PlacementRelease): boolean {
  const { taskId, attempt } = attemptOf(placedTask);
  return proof.kind === 'exited' && worker.tasks.get(taskId)?.attempt !== attempt;
}
