/**
 * Checks that, across all takeovers, each attempt of a task is launched on one machine only and only once there, and that
 * fencing tokens never go back on a machine: by the launches that workers executed, without reading any records.
 */
import type { AcceptedLaunch } from './worker-events.js';

/** A launch command that a worker has executed. */
export interface ExecutedLaunch extends AcceptedLaunch {
  machineId: string;
}

/** The rules that this history checks. */
export type PlacementHistoryRule = 'placed_twice' | 'launched_again' | 'older_token';

/** Collects the launches of each task and checks every new one against the earlier ones. */
export class PlacementHistory {
  private readonly launchesByTask = new Map<string, ExecutedLaunch[]>();

  constructor(
    private readonly isInGang: (taskId: string) => boolean,
    private readonly addViolation: (rule: PlacementHistoryRule, at: number, details: string) => void,
  ) {}

  launched(at: number, launch: ExecutedLaunch): void {
    const earlier = this.launchesByTask.get(launch.taskId) ?? [];
    this.launchesByTask.set(launch.taskId, [...earlier, launch]);
    const { machineId, taskId, attempt, fencingToken, isCopy } = launch;
    const isRepeated = earlier.some((each) => each.machineId === machineId && each.attempt === attempt);
    if (isCopy || (isRepeated && !this.isInGang(taskId)))
      this.addViolation('launched_again', at, `${taskId} attempt ${attempt} on ${machineId}`);
    // A gang member that is replaced keeps the attempt number of its gang.
    const duplicate = earlier.find(
      (each) => each.machineId !== machineId && each.attempt === attempt && !this.isInGang(taskId),
    );
    if (duplicate !== undefined)
      this.addViolation('placed_twice', at, `${taskId} attempt ${attempt}: ${duplicate.machineId}, ${machineId}`);
    // On each machine, a later placement is decided under the same claim or a later one.
    const newer = earlier.find((each) => each.machineId === machineId && each.fencingToken > fencingToken);
    if (newer !== undefined)
      this.addViolation('older_token', at, `${taskId} on ${machineId}: ${fencingToken} after ${newer.fencingToken}`);
  }
}
