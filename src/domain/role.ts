/** Roles that exactly one controller leads at a time: the whole cluster's, and one for each partition of the machines. */

export const CLUSTER_LEADER_ROLE = 'leader';
const PARTITION_PREFIX = 'part-';
export const partitionRole = (partition: number): string => `${PARTITION_PREFIX}${partition}`;
/** The partition of a role; undefined for the leadership. */
export const partitionOfRole = (role: string): number | undefined =>
  role === CLUSTER_LEADER_ROLE ? undefined : Number(role.slice(PARTITION_PREFIX.length));

/** FNV-1a: spreads machines and jobs over partitions, the same in every node. */
export function hashName(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  // FNV's low bits alone are uneven over short names that differ in the last digit only.
  hash ^= hash >>> 15;
  return hash >>> 0;
}
