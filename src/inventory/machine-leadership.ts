/** Who leads the partition of a machine. */
import { partitionRole } from '../domain/role.js';
import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';

/** What the inventory needs to know of the leadership of partitions. */
export type PartitionLeadership = Pick<RoleLeadership, 'leadershipOf' | 'leaderOf' | 'partitionOf'>;

/** This node's leadership of the machine's partition; undefined: another node leads it, or none. */
export const ownLeadershipOver = (leadership: PartitionLeadership, machineId: string): HeldLeadership | undefined =>
  leadership.leadershipOf(partitionRole(leadership.partitionOf(machineId)));

/** The node that leads the machine's partition; undefined: none is known. */
export const leaderOfMachine = (leadership: PartitionLeadership, machineId: string): string | undefined =>
  leadership.leaderOf(partitionRole(leadership.partitionOf(machineId)));
