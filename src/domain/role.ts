/** Leadership roles, each held by at most one controller: the cluster leader, and a leader for each partition of the machines. */

/** The role of the cluster leader. */
export const CLUSTER_LEADER_ROLE = 'leader';

const PARTITION_ROLE_PREFIX = 'part-';

/** The role of the leader of a partition; partitions are numbered from 0. */
export const partitionRole = (partition: number): string => `${PARTITION_ROLE_PREFIX}${partition}`;

/** The partition of a role; undefined for the cluster leader. */
export const partitionOfRole = (role: string): number | undefined =>
  role === CLUSTER_LEADER_ROLE ? undefined : Number(role.slice(PARTITION_ROLE_PREFIX.length));

/** An unsigned 32-bit FNV-1a hash that distributes machines and jobs over partitions; identical in every node and version. */
export function hashName(name: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < name.length; index++) hash = Math.imul(hash ^ name.charCodeAt(index), 0x01000193);
  // The low bits of FNV alone are unevenly distributed for short names that differ only in the last digit.
  hash ^= hash >>> 15;
  return hash >>> 0;
}
