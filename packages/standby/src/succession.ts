/** Designation of successors: each controller computes them from local information, so no vote is needed. */

/** A controller as seen by another one. */
export interface Candidate {
  readonly node: string;
  readonly zone: string;
  /** Whether the node was heard from recently and the store has recently confirmed its replica of the records. */
  readonly isServing: boolean;
  /** Whether the node is shutting down, or has released this role and temporarily does not reacquire it. */
  readonly avoidsRole: boolean;
  /** Number of roles that the node leads. */
  readonly ledRoleCount: number;
}

/** The role to designate a successor for. */
export interface RoleToSucceed {
  readonly role: string;
  /** The current or last known leader; undefined: none is known. */
  readonly leader: string | undefined;
  /** The preferred node of the partition; undefined for the cluster leader. */
  readonly preferredNode: string | undefined;
}

/** FNV-1a hash, so that ties are broken differently for each role but identically on every node. */
function tieBreaker(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  return (hash ^ (hash >>> 15)) >>> 0;
}

/** The node that should acquire the role first once it is vacant; undefined: no node is eligible. */
export function designateSuccessor(target: RoleToSucceed, candidates: readonly Candidate[]): string | undefined {
  const leaderZone = candidates.find(({ node }) => node === target.leader)?.zone;
  const eligible = candidates.filter(
    ({ node, isServing, avoidsRole }) => node !== target.leader && isServing && !avoidsRole,
  );
  const rank = (candidate: Candidate): number[] => [
    candidate.node === target.preferredNode ? 0 : 1,
    candidate.zone === leaderZone ? 1 : 0,
    candidate.ledRoleCount,
    tieBreaker(`${target.role} ${candidate.node}`),
  ];
  const [best] = eligible.sort((a, b) => compareRanks(rank(a), rank(b)) || (a.node < b.node ? -1 : 1));
  return best?.node;
}

function compareRanks(a: readonly number[], b: readonly number[]): number {
  for (const [index, value] of a.entries()) {
    const difference = value - b[index]!;
    if (difference !== 0) return difference;
  }
  return 0;
}
