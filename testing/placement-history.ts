/**
 * One placement a slot and token, over all takeovers: judged by the launches that workers carried out, without any records.
 */

/** A launch that a worker has executed. */
export interface CarriedOutLaunch {
  machineId: string;
  taskId: string;
  attempt: number;
  /** The fencing token that the launch came with. */
  fencingToken: number;
}

/** Collects the launches of each task, and checks each against those before. */
export class PlacementHistory {
  private readonly bySlot = new Map<string, CarriedOutLaunch[]>();

  constructor(
    private readonly isInGang: (taskId: string) => boolean,
    private readonly breaks: (rule: 'placed_twice' | 'older_token', at: number, what: string) => void,
  ) {}

  launched(at: number, launch: CarriedOutLaunch): void {
    const before = this.bySlot.get(launch.taskId) ?? [];
    this.bySlot.set(launch.taskId, [...before, launch]);
    const { machineId, taskId, attempt, fencingToken } = launch;
    // A member of a gang is replaced under the gang's own attempt.
    const twin = before.find(
      (each) => each.machineId !== machineId && each.attempt === attempt && !this.isInGang(taskId),
    );
    if (twin !== undefined)
      this.breaks('placed_twice', at, `${taskId} attempt ${attempt}: ${twin.machineId}, ${machineId}`);
    // A later placement is decided under a later claim, or the same one, on each machine.
    const newer = before.find((each) => each.machineId === machineId && each.fencingToken > fencingToken);
    if (newer !== undefined)
      this.breaks('older_token', at, `${taskId} on ${machineId}: ${fencingToken} after ${newer.fencingToken}`);
  }
}
