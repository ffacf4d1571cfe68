/** Who takes a role over: computed by every controller from what it knows, so that it needs no vote. */

/** A controller as the others see it. */
export interface Candidate {
  readonly node: string;
  readonly zone: string;
  /** Heard from recently, and the store has confirmed its replica of the records recently. */
  readonly isServing: boolean;
  /** It is being stopped, or has released this very role and does not acquire it again for now. */
  readonly avoidsRole: boolean;
  /** Roles that it leads. */
  readonly ledRoleCount: number;
}

/** The role for which a successor is sought. */
export interface RoleToSucceed {
  readonly role: string;
  /** The node that leads it, or led it last; undefined: none is known to have. */
  readonly leader: string | undefined;
  /** The node that the partition prefers; undefined for the leadership of the cluster. */
  readonly preferredNode: string | undefined;
}

/** FNV-1a hash, so that ties are broken differently for each role and alike at every node. */
function tieBreaker(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  return (hash ^ (hash >>> 15)) >>> 0;
}

/** The node that should acquire the role first once it is vacant; undefined: none is eligible. */
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
  const [first] = eligible.sort((a, b) => compareRanks(rank(a), rank(b)) || (a.node < b.node ? -1 : 1));
  return first?.node;
}

function compareRanks(a: readonly number[], b: readonly number[]): number {
  for (const [index, value] of a.entries()) {
    const difference = value - b[index]!;
    if (difference !== 0) return difference;
  }
  return 0;
}
