/**
 * Accounts for each team's usage in the team's record in the store. The recorded usage is never below that of the team's tasks:
 * every start adds to it, under the condition that the record has not changed since it was read. While usage is far below the
 * team's limit, exits leave the record unchanged, since a write per task to a record that all controllers write is what the
 * store's write rate can least afford. The next start lowers the record to the usage of the placements, if the replica is known
 * to hold every start that the record counts.
 */
import { DEFERRED_EXIT_SHARE } from '../constants/records.js';
import type { Count } from '../domain/count.js';
import type { JobSpec } from '../domain/job.js';
import type { Team, TeamUsage } from '../domain/team.js';
import type { StoredValue } from '../store/replica.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import { isQuotaLimited } from './placement-rules.js';
import { decodeTeamUsage, encodeTeamUsage } from './record-codecs.js';
import { teamKey } from './record-keys.js';
import { adjustUsage } from './team-usage-index.js';

/** The sources of the usage figures, and the rule for deferring exits. */
export interface TeamAccountingDependencies {
  teams: readonly Team[];
  /** Usage of a team's placed tasks; undefined unless the replica holds all changes up to the revision. */
  placedUsageOf: (team: string, revision: Count) => TeamUsage | undefined;
  /** The replica's copy of a record. */
  recordOf: (key: string) => StoredValue;
  /** Whether all controllers expect that a record may overstate its team's usage. */
  canDeferExits: () => boolean;
}

/** Whether usage is so far below the limits that a start finds room even if exits have not been recorded. */
const isFarBelowLimit = (usage: TeamUsage, { limit }: Team): boolean =>
  (limit.cpus === 0 || usage.cpus <= limit.cpus * DEFERRED_EXIT_SHARE) &&
  (limit.gpus === 0 || usage.gpus <= limit.gpus * DEFERRED_EXIT_SHARE);

/** Reads each team's usage, and updates its record in the transactions that change it. */
export class TeamAccounting {
  private readonly teams: ReadonlyMap<string, Team>;

  constructor(private readonly dependencies: TeamAccountingDependencies) {
    this.teams = new Map(dependencies.teams.map((team) => [team.name, team]));
  }

  /** Upper bound of the usage of the job's team. Makes the team's record a condition of the draft. */
  usageOf(draft: TransactionDraft, team: Team, spec: JobSpec): TeamUsage {
    if (!isQuotaLimited(team, spec)) return { cpus: 0, gpus: 0 };
    const key = teamKey(team.name);
    const isWritten = draft.writesKey(key);
    const recorded = decodeTeamUsage(draft.get(key));
    if (isWritten) return recorded;
    return this.usageUpperBound(team.name, recorded, draft.conditions.get(key) ?? Infinity);
  }

  /** Adds a started task to its team's record. */
  addStart(draft: TransactionDraft, team: Team, spec: JobSpec): void {
    if (!isQuotaLimited(team, spec)) return;
    draft.set(teamKey(team.name), encodeTeamUsage(adjustUsage(this.usageOf(draft, team, spec), spec, 1)));
  }

  /** Subtracts an exited task from its team's record, unless this can be deferred to the team's next start. */
  addExit(draft: TransactionDraft, spec: JobSpec): void {
    const team = this.teams.get(spec.team);
    if (team === undefined || !isQuotaLimited(team, spec) || this.isDeferred(draft, team)) return;
    draft.set(teamKey(team.name), encodeTeamUsage(adjustUsage(this.usageOf(draft, team, spec), spec, -1)));
  }

  private isDeferred(draft: TransactionDraft, team: Team): boolean {
    const key = teamKey(team.name);
    return (
      this.dependencies.canDeferExits() &&
      !draft.writesKey(key) &&
      isFarBelowLimit(decodeTeamUsage(draft.getWithoutCondition(key)), team)
    );
  }

  /** Whether a team's record shows more usage than its placements. */
  isOverstated(team: string): boolean {
    return this.findLowerUsage(team, this.dependencies.recordOf(teamKey(team))) !== undefined;
  }

  /** Lowers a team's record to the usage of its placements, if that is less. */
  settle(draft: TransactionDraft, team: string): boolean {
    const key = teamKey(team);
    if (draft.writesKey(key)) return false;
    const value = draft.get(key);
    const usage = this.findLowerUsage(team, { value, modRevision: draft.conditions.get(key) ?? Infinity });
    if (usage === undefined) return false;
    draft.set(key, encodeTeamUsage(usage));
    return true;
  }

  /** The usage that a team's record should show, if lower than the recorded one; undefined otherwise. */
  private findLowerUsage(team: string, { value, modRevision }: StoredValue): TeamUsage | undefined {
    if (value === undefined) return undefined;
    const recorded = decodeTeamUsage(value);
    const usage = this.usageUpperBound(team, recorded, modRevision);
    return usage.cpus < recorded.cpus || usage.gpus < recorded.gpus ? usage : undefined;
  }

  /**
   * The lower of the recorded usage and that of the placements. Every start changes the record, so a replica that holds the
   * record's revision holds all starts; tasks whose exits it has not seen yet still count as usage.
   */
  private usageUpperBound(team: string, recorded: TeamUsage, modRevision: Count): TeamUsage {
    const placed = this.dependencies.placedUsageOf(team, modRevision);
    if (placed === undefined) return recorded;
    return { cpus: Math.min(recorded.cpus, placed.cpus), gpus: Math.min(recorded.gpus, placed.gpus) };
  }

  /** The team whose record an exit changes; undefined if exits can be deferred, since few of them then write it. */
  teamChangedByExit(spec: JobSpec | undefined): Team | undefined {
    return spec === undefined || this.dependencies.canDeferExits() ? undefined : this.teams.get(spec.team);
  }
}
