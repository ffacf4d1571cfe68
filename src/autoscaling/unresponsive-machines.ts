/** Decides which unresponsive machines are to be replaced, and which are spared because the fault is not theirs. */
import { ZONE_CUT_SHARE, ZONE_PATIENCE_MS } from '../constants/autoscaling.js';
import { SELF_SUSPECT_SHARE } from '../constants/leadership.js';

/** What the leader of a machine's partition reports of it, as far as its replacement goes. */
export interface WatchedMachine {
  machineId: string;
  partition: number;
  zone: string;
  /** ms for which nothing has shown that it is up and can be reached; 0: it is and can. */
  unresponsiveMs: number;
  /** Its heartbeat is late, or worse. */
  isLate: boolean;
}

interface HeartbeatCounts {
  late: number;
  total: number;
}

const countLateBy = <K>(
  machines: readonly WatchedMachine[],
  keyOf: (machine: WatchedMachine) => K,
): Map<K, HeartbeatCounts> => {
  const groups = new Map<K, HeartbeatCounts>();
  for (const machine of machines) {
    const key = keyOf(machine);
    const group = groups.get(key) ?? { late: 0, total: 0 };
    group.total++;
    if (machine.isLate) group.late++;
    groups.set(key, group);
  }
  return groups;
};

/** Two late machines are no sign of a common fault, whatever the total. */
const isMinority = ({ late, total }: HeartbeatCounts, share: number): boolean => late <= Math.max(2, total * share);

/** Zones that count as cut off, since most of their machines are late. */
export function findCutZones(machines: readonly WatchedMachine[]): string[] {
  const zones = countLateBy(machines, (machine) => machine.zone);
  return [...zones].filter(([, zone]) => !isMinority(zone, ZONE_CUT_SHARE)).map(([zone]) => zone);
}

/**
 * Ids of the unresponsive machines that are to be scaled in. Where most of a partition are late, its leader is the one that
 * can't be reached. Where most of a zone are, the zone is cut off: its machines come back with their images when the
 * partition of the network ends, new ones could not be reached either, and what ran there is free when the leases have
 * expired. Since heartbeats come at different times, the first machine to count as unresponsive is judged by how many others
 * are late already; and since they come back at different times, a zone is spared for a while after.
 */
export function findMachinesToReplace(
  machines: readonly WatchedMachine[],
  zonesCutLately: ReadonlySet<string>,
): string[] {
  const partitions = countLateBy(machines, (machine) => machine.partition);
  return machines
    .filter(({ partition, zone, unresponsiveMs }) => {
      if (unresponsiveMs <= 0 || !isMinority(partitions.get(partition)!, SELF_SUSPECT_SHARE)) return false;
      return !zonesCutLately.has(zone) || unresponsiveMs > ZONE_PATIENCE_MS;
    })
    .map(({ machineId }) => machineId);
}
