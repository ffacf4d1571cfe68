import { partitionRole } from '../domain/role.js';

/** The role whose leader serves the machine: that of the partition that the machine belongs to. */
export const machineRole = (leadership: { partitionOf(machineId: string): number }, machineId: string): string =>
  partitionRole(leadership.partitionOf(machineId));
