/** Roles that one controller leads at a time: the whole cluster's, and one for each partition of the machines. */

/** The role of the cluster leader. */
export const CLUSTER_LEADER_ROLE = 'leader';

const PARTITION_ROLE_PREFIX = 'part-';

/** The role of the leader of a partition, by its number from 0. */
export const partitionRole = (partition: number): string => `${PARTITION_ROLE_PREFIX}${partition}`;

/** The partition of a role; undefined for the cluster leader's. */
export const partitionOfRole = (role: string): number | undefined =>
  role === CLUSTER_LEADER_ROLE ? undefined : Number(role.slice(PARTITION_ROLE_PREFIX.length));

/** FNV-1a, an unsigned 32-bit hash: distributes machines and jobs over partitions, the same in every node and version. */
export function hashName(name: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < name.length; index++) hash = Math.imul(hash ^ name.charCodeAt(index), 0x01000193);
  // FNV's low bits alone are uneven over short names that differ in the last digit only.
  hash ^= hash >>> 15;
  return hash >>> 0;
}
