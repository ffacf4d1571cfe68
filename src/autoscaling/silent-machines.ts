import { SELF_SUSPECT_SHARE } from '../constants/leadership.js';
import { ZONE_CUT_SHARE, ZONE_PATIENCE_MS } from '../constants/autoscaling.js';

/** What an owner says of one of its machines, as far as giving it up goes. */
export interface WatchedMachine {
  machineId: string;
  partition: number;
  zone: string;
  /** ms for which nothing has shown that it lives and can be reached; 0: it does and can. */
  silentMs: number;
  /** It is late with a report, or worse. */
  isLate: boolean;
}

interface Group {
  quiet: number;
  total: number;
}

const grouped = <K>(machines: readonly WatchedMachine[], keyOf: (machine: WatchedMachine) => K): Map<K, Group> => {
  const groups = new Map<K, Group>();
  for (const machine of machines) {
    const key = keyOf(machine);
    const group = groups.get(key) ?? { quiet: 0, total: 0 };
    group.total++;
    if (machine.isLate) group.quiet++;
    groups.set(key, group);
  }
  return groups;
};

const few = ({ quiet, total }: Group, share: number): boolean => quiet <= Math.max(2, total * share);

/** Zones that are cut off by all their machines say. */
export function findCutZones(machines: readonly WatchedMachine[]): string[] {
  const zones = grouped(machines, (machine) => machine.zone);
  return [...zones].filter(([, zone]) => !few(zone, ZONE_CUT_SHARE)).map(([zone]) => zone);
}

/**
 * Silent machines that are to be given back. Where most of a partition are silent, its owner is the one that can't be reached.
 * Where most of a zone are, the zone is cut off: its machines come back with their images when the cut ends, new ones could
 * not be reached either, and what ran there is free when the leases are over. Since reports come at different times, the
 * first machine to count as silent is judged by how many others are late already; and since they come back at different
 * times, a zone is spared for a while after.
 */
export function findMachinesToReplace(machines: readonly WatchedMachine[], spared: ReadonlySet<string>): string[] {
  const partitions = grouped(machines, (machine) => machine.partition);
  return machines
    .filter(({ partition, zone, silentMs }) => {
      if (silentMs <= 0 || !few(partitions.get(partition)!, SELF_SUSPECT_SHARE)) return false;
      return !spared.has(zone) || silentMs > ZONE_PATIENCE_MS;
    })
    .map(({ machineId }) => machineId);
}
