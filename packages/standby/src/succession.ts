/** Who takes a role over: computed by every controller from what it sees, so that it needs no vote. */

/** A controller as the others see it. */
export interface Candidate {
  readonly node: string;
  readonly zone: string;
  /** Heard just now, and the store has confirmed its copy of the records just now. */
  readonly isServing: boolean;
  /** It is being stopped, or gave this very role up and does not take it again for now. */
  readonly avoidsRole: boolean;
  /** Roles that it holds. */
  readonly ledRoleCount: number;
}

export interface RoleToSucceed {
  readonly role: string;
  /** Who holds it, or held it last; undefined: nobody is known to have. */
  readonly leader: string | undefined;
  /** The controller that the role belongs to while it is up; undefined for the leadership. */
  readonly preferredNode: string | undefined;
}

/** FNV-1a, so that ties are broken differently for each role and alike at every node. */
function tieBreaker(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  return (hash ^ (hash >>> 15)) >>> 0;
}

/** The controller that should claim the role first once it is vacant; undefined: none is fit. */
export function designateSuccessor(target: RoleToSucceed, candidates: readonly Candidate[]): string | undefined {
  const zoneOfHolder = candidates.find(({ node }) => node === target.leader)?.zone;
  const fit = candidates.filter(
    ({ node, isServing, avoidsRole }) => node !== target.leader && isServing && !avoidsRole,
  );
  const rank = (candidate: Candidate): number[] => [
    candidate.node === target.preferredNode ? 0 : 1,
    candidate.zone === zoneOfHolder ? 1 : 0,
    candidate.ledRoleCount,
    tieBreaker(`${target.role} ${candidate.node}`),
  ];
  const [first] = fit.sort((a, b) => compareRanks(rank(a), rank(b)) || (a.node < b.node ? -1 : 1));
  return first?.node;
}

function compareRanks(a: readonly number[], b: readonly number[]): number {
  for (const [index, value] of a.entries()) {
    const difference = value - b[index]!;
    if (difference !== 0) return difference;
  }
  return 0;
}
