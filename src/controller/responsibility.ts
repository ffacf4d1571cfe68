/** Who looks after the records of a job: the owner of its partition, or the leader while there is none. */
import { partitionRole, type Claims } from './claims.js';

export function isResponsibleFor(claims: Claims, ref: string): boolean {
  const role = partitionRole(claims.partitionOf(ref));
  const isMine = claims.holding(role) !== undefined;
  return isMine || (claims.isLeader && claims.ownerOf(role) === undefined);
}
