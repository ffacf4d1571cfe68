/** Decides which unresponsive machines to replace, and which to keep because the machines are not at fault. */
import { ISOLATED_ZONE_RETENTION_MS, ZONE_ISOLATION_SHARE } from '../constants/autoscaling.js';
import { LEADER_FAULT_SHARE } from '../constants/leadership.js';

/** How responsive a machine is, as far as known from the leader of its partition. */
export interface MonitoredMachine {
  machineId: string;
  partition: number;
  zone: string;
  /** ms without any sign that the machine is up and reachable; 0: it counts as responsive. */
  unresponsiveMs: number;
  /** Whether the machine's next heartbeat is late, or the machine is unresponsive. */
  isLate: boolean;
}

interface HeartbeatCounts {
  late: number;
  total: number;
}

const countLateBy = <K>(
  machines: readonly MonitoredMachine[],
  keyOf: (machine: MonitoredMachine) => K,
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

/** Up to two late machines never indicate a common fault, whatever the total. */
const isMinority = ({ late, total }: HeartbeatCounts, share: number): boolean => late <= Math.max(2, total * share);

/** Zones that count as isolated from the network, since most of their machines are late. */
export function findIsolatedZones(machines: readonly MonitoredMachine[]): string[] {
  const zones = countLateBy(machines, (machine) => machine.zone);
  return [...zones].filter(([, zone]) => !isMinority(zone, ZONE_ISOLATION_SHARE)).map(([zone]) => zone);
}

/**
 * Ids of the unresponsive machines to scale in. If a large share of a partition's machines is late, the leader of the
 * partition is the unreachable one. If most of a zone's machines are late, the zone is isolated from the network: when it
 * reconnects, its machines return with their cached images; new machines there could not be reached either; and the tasks
 * there may start elsewhere once the leases have expired. Heartbeats arrive at different times, so the first machine to
 * count as unresponsive is judged by how many others are already late. They also resume at different times, so a zone's
 * machines are kept for a while after it was last seen isolated.
 */
export function findMachinesToReplace(
  machines: readonly MonitoredMachine[],
  recentlyIsolatedZones: ReadonlySet<string>,
): string[] {
  const partitions = countLateBy(machines, (machine) => machine.partition);
  return machines
    .filter(({ partition, zone, unresponsiveMs }) => {
      if (unresponsiveMs <= 0 || !isMinority(partitions.get(partition)!, LEADER_FAULT_SHARE)) return false;
      return !recentlyIsolatedZones.has(zone) || unresponsiveMs > ISOLATED_ZONE_RETENTION_MS;
    })
    .map(({ machineId }) => machineId);
}
