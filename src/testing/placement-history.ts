/**
 * One placement a slot and token, over all takeovers: judged by the launches that workers carried out, without any records.
 */

export interface CarriedOutLaunch {
  host: string;
  shard: string;
  attempt: number;
  /** The fencing token that the launch came with. */
  fence: number;
}

export class PlacementHistory {
  private readonly bySlot = new Map<string, CarriedOutLaunch[]>();

  constructor(
    private readonly isInGang: (shard: string) => boolean,
    private readonly breaks: (rule: 'placed_twice' | 'older_token', at: number, what: string) => void,
  ) {}

  launched(at: number, launch: CarriedOutLaunch): void {
    const before = this.bySlot.get(launch.shard) ?? [];
    this.bySlot.set(launch.shard, [...before, launch]);
    const { host, shard, attempt, fence } = launch;
    // A member of a gang is replaced under the gang's own attempt.
    const twin = before.find((each) => each.host !== host && each.attempt === attempt && !this.isInGang(shard));
    if (twin !== undefined) this.breaks('placed_twice', at, `${shard} attempt ${attempt}: ${twin.host}, ${host}`);
    // A later placement is decided under a later claim, or the same one, on each machine.
    const newer = before.find((each) => each.host === host && each.fence > fence);
    if (newer !== undefined) this.breaks('older_token', at, `${shard} on ${host}: ${fence} after ${newer.fence}`);
  }
}
