/** Looks up the leader of a machine's partition. */
import { partitionRole } from '../domain/role.js';
import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';

/** The queries about partition leadership that the inventory uses. */
export type PartitionLeadership = Pick<RoleLeadership, 'leadershipOf' | 'leaderOf' | 'partitionOf'>;

/** This node's leadership of the machine's partition, or undefined if this node does not lead it. */
export const ownLeadershipOver = (leadership: PartitionLeadership, machineId: string): HeldLeadership | undefined =>
  leadership.leadershipOf(partitionRole(leadership.partitionOf(machineId)));

/** The node that leads the machine's partition, or undefined if none is known. */
export const leaderOfMachine = (leadership: PartitionLeadership, machineId: string): string | undefined =>
  leadership.leaderOf(partitionRole(leadership.partitionOf(machineId)));
