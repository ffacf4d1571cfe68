/**
 * Lowers the usage records of teams to the usage of their placements. Exits may leave a record unchanged, and it stays too high
 * if no start follows. The cluster leader does this only for teams whose record has not changed lately, so that it does not
 * conflict with the starts of busy teams.
 */
import type { Count } from '../domain/count.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import { Priority } from '../net/token-bucket.js';
import { teamKey } from '../records/record-keys.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';

/** The teams, their usage records, and the transactions that correct the records. */
export interface TeamSettlementDependencies {
  teams: readonly { name: string }[];
  leadership: RoleLeadership;
  replica: Replica;
  transactions: TransactionBatcher;
  accounting: TeamAccounting;
}

/** Corrects overstated usage records of idle teams, as cluster leader. */
export class TeamSettlement {
  /** The modRevision of each team's record at the previous check, by team. */
  private readonly lastModRevisions = new Map<string, Count>();

  constructor(private readonly dependencies: TeamSettlementDependencies) {}

  /** Corrects the records that have not changed since the previous call; to be called periodically. */
  settleIdleTeams(): void {
    const { teams, leadership, replica, transactions, accounting } = this.dependencies;
    if (!leadership.isClusterLeader) return;
    for (const { name } of teams) {
      const { modRevision } = replica.get(teamKey(name));
      const isQuiet = this.lastModRevisions.get(name) === modRevision;
      this.lastModRevisions.set(name, modRevision);
      if (!isQuiet || !accounting.isOverstated(name)) continue;
      void transactions.commit('settle', Priority.background, (draft) => accounting.settle(draft, name));
    }
  }
}
