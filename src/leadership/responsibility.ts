/** Which node maintains the records of a job: the leader of its partition, or the cluster leader while that role is vacant. */
import { partitionRole } from '../domain/role.js';
import type { RoleLeadership } from './role-leadership.js';

/** Whether this node currently maintains the records of the job. */
export function isResponsibleFor(leadership: RoleLeadership, jobId: string): boolean {
  const role = partitionRole(leadership.partitionOf(jobId));
  const isLedHere = leadership.leadershipOf(role) !== undefined;
  return isLedHere || (leadership.isClusterLeader && leadership.leaderOf(role) === undefined);
}
