/**
 * Sets the usage records of teams to what the placements show, where exits have left them as they were and no start has followed.
 * Done by the cluster leader, for teams of which nothing has started for a while, so that it does not conflict with the starts of
 * those that are busy.
 */
import type { RoleLeadership } from '../leadership/role-leadership.js';
import { Priority } from '../net/token-bucket.js';
import { teamKey } from '../records/record-keys.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';

/** The teams, and the accounting of what they use. */
export interface TeamSettlementDependencies {
  teams: readonly { name: string }[];
  leadership: RoleLeadership;
  replica: Replica;
  transactions: TransactionBatcher;
  accounting: TeamAccounting;
}

/** A duty of the cluster leader. */
export class TeamSettlement {
  /** The modRevision of each team's record when it was last looked at. */
  private readonly lastModRevisions = new Map<string, number>();

  constructor(private readonly dependencies: TeamSettlementDependencies) {}

  /** Called now and then: what has not changed since the last time is settled. */
  settleQuietTeams(): void {
    const { teams, leadership, replica, transactions, accounting } = this.dependencies;
    if (!leadership.isLeader) return;
    for (const { name } of teams) {
      const { modRevision } = replica.get(teamKey(name));
      const isQuiet = this.lastModRevisions.get(name) === modRevision;
      this.lastModRevisions.set(name, modRevision);
      if (!isQuiet || !accounting.isOverstated(name)) continue;
      void transactions.commit('settle', Priority.background, (draft) => accounting.settle(draft, name));
    }
  }
}
