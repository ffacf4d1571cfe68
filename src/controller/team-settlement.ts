/**
 * Sets the records of teams to what the ledger shows, where exits have left them as they were and no start has followed. Done by the
 * leader, for teams of which nothing has started for a while, so that it takes no changes from those that are busy.
 */
import { teamKey } from '../ledger/records.js';
import type { TeamAccounting } from '../ledger/team-accounting.js';
import { Priority } from '../net/token-bucket.js';
import type { Committer } from '../state/committer.js';
import type { Replica } from '../state/replica.js';
import type { Claims } from './claims.js';

export interface TeamSettlementDependencies {
  teams: readonly { name: string }[];
  claims: Claims;
  replica: Replica;
  committer: Committer;
  accounting: TeamAccounting;
}

export class TeamSettlement {
  /** The Stamp of each team's record when it was last looked at. */
  private readonly seen = new Map<string, number>();

  constructor(private readonly dependencies: TeamSettlementDependencies) {}

  /** Called now and then: what has not changed since the last time is settled. */
  look(): void {
    const { teams, claims, replica, committer, accounting } = this.dependencies;
    if (!claims.isLeader) return;
    for (const { name } of teams) {
      const { stamp } = replica.get(teamKey(name));
      const isQuiet = this.seen.get(name) === stamp;
      this.seen.set(name, stamp);
      if (!isQuiet || !accounting.isOverstated(name)) continue;
      void committer.commit('settle', Priority.background, (draft) => accounting.settle(draft, name));
    }
  }
}
