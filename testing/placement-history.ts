/**
 * Checks that, across all takeovers, each attempt of a task is launched on one machine only, and that fencing tokens
 * never go back on a machine: by the launches that workers executed, without reading any records.
 */

/** A launch command that a worker has executed. */
export interface ExecutedLaunch {
  machineId: string;
  taskId: string;
  attempt: number;
  /** The fencing token of the launch command. */
  fencingToken: number;
}

/** Collects the launches of each task and checks every new one against the earlier ones. */
export class PlacementHistory {
  private readonly launchesByTask = new Map<string, ExecutedLaunch[]>();

  constructor(
    private readonly isInGang: (taskId: string) => boolean,
    private readonly addViolation: (rule: 'placed_twice' | 'older_token', at: number, details: string) => void,
  ) {}

  launched(at: number, launch: ExecutedLaunch): void {
    const earlier = this.launchesByTask.get(launch.taskId) ?? [];
    this.launchesByTask.set(launch.taskId, [...earlier, launch]);
    const { machineId, taskId, attempt, fencingToken } = launch;
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
