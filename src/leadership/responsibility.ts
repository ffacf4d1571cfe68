/** Who looks after the records of a job: the owner of its partition, or the leader while there is none. */
import { partitionRole } from '../domain/role.js';
import type { RoleLeadership } from './role-leadership.js';

export function isResponsibleFor(leadership: RoleLeadership, jobId: string): boolean {
  const role = partitionRole(leadership.partitionOf(jobId));
  const isMine = leadership.leadershipOf(role) !== undefined;
  return isMine || (leadership.isLeader && leadership.leaderOf(role) === undefined);
}
