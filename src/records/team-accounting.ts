/**
 * What each team uses, as its record in the store has it. The record is never less than what the team's tasks use: every start
 * adds to it, under the condition that nobody else has changed it. Exits far below the team's limit leave it as it is, since
 * a write, for every task of a team, of a record that all controllers write is what the store's rate of writes allows least;
 * the next start sets it to what the placements show, if the replica is known to hold every start that the record counts.
 */
import { DEFERRED_EXIT_SHARE } from '../constants/records.js';
import type { JobSpec } from '../domain/job.js';
import type { Team, TeamUsage } from '../domain/team.js';
import type { StoredValue } from '../store/replica.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import { isLimited } from './placement-rules.js';
import { decodeTeamUsage, encodeTeamUsage } from './record-codecs.js';
import { teamKey } from './record-keys.js';
import { withTask } from './team-usage-index.js';

/** What a team's use is counted from. */
export interface TeamAccountingDependencies {
  teams: readonly Team[];
  /** What a team's placed tasks use; undefined unless the replica holds all that happened up to the revision. */
  placedUsageOf: (team: string, upTo: number) => TeamUsage | undefined;
  /** A record as the replica has it. */
  recordOf: (key: string) => StoredValue;
  /** Do all controllers know that a record may say more than its team uses? */
  canDeferExits: () => boolean;
}

/** Is the usage so far below the limit that the next start need not know of every exit? */
const isFarBelowLimit = (usage: TeamUsage, { limit }: Team): boolean =>
  (limit.cpus === 0 || usage.cpus <= limit.cpus * DEFERRED_EXIT_SHARE) &&
  (limit.gpus === 0 || usage.gpus <= limit.gpus * DEFERRED_EXIT_SHARE);

/** What each team uses, and what a transaction must change for it to stay so. */
export class TeamAccounting {
  private readonly teams: ReadonlyMap<string, Team>;

  constructor(private readonly dependencies: TeamAccountingDependencies) {
    this.teams = new Map(dependencies.teams.map((team) => [team.name, team]));
  }

  /** What the job's team uses at most; its record is a condition of the draft from then on. */
  usageOf(draft: TransactionDraft, team: Team, spec: JobSpec): TeamUsage {
    if (!isLimited(team, spec)) return { cpus: 0, gpus: 0 };
    const key = teamKey(team.name);
    const isWritten = draft.hasWritten(key);
    const recorded = decodeTeamUsage(draft.get(key));
    if (isWritten) return recorded;
    return this.usageAtMost(team.name, recorded, draft.conditions.get(key) ?? Infinity);
  }

  /** Adds a task to its team's record. */
  addStart(draft: TransactionDraft, team: Team, spec: JobSpec): void {
    if (!isLimited(team, spec)) return;
    draft.set(teamKey(team.name), encodeTeamUsage(withTask(this.usageOf(draft, team, spec), spec, 1)));
  }

  /** Takes a task off its team's record, unless that can be left to the team's next start. */
  addExit(draft: TransactionDraft, spec: JobSpec): void {
    const team = this.teams.get(spec.team);
    if (team === undefined || !isLimited(team, spec) || this.isDeferred(draft, team)) return;
    draft.set(teamKey(team.name), encodeTeamUsage(withTask(this.usageOf(draft, team, spec), spec, -1)));
  }

  private isDeferred(draft: TransactionDraft, team: Team): boolean {
    const key = teamKey(team.name);
    return (
      this.dependencies.canDeferExits() &&
      !draft.hasWritten(key) &&
      isFarBelowLimit(decodeTeamUsage(draft.peek(key)), team)
    );
  }

  /** Does a team's record say more than the placements show? */
  isOverstated(team: string): boolean {
    return this.findLowerUsage(team, this.dependencies.recordOf(teamKey(team))) !== undefined;
  }

  /** Sets a team's record to what the placements show, if that is less. */
  settle(draft: TransactionDraft, team: string): boolean {
    const key = teamKey(team);
    if (draft.hasWritten(key)) return false;
    const value = draft.get(key);
    const usage = this.findLowerUsage(team, { value, modRevision: draft.conditions.get(key) ?? Infinity });
    if (usage === undefined) return false;
    draft.set(key, encodeTeamUsage(usage));
    return true;
  }

  /** What a team's record should say, where that is less than what it says. */
  private findLowerUsage(team: string, { value, modRevision }: StoredValue): TeamUsage | undefined {
    if (value === undefined) return undefined;
    const recorded = decodeTeamUsage(value);
    const usage = this.usageAtMost(team, recorded, modRevision);
    return usage.cpus < recorded.cpus || usage.gpus < recorded.gpus ? usage : undefined;
  }

  /**
   * The smaller of what the record and the placements say. Every start changes the record, so the record's revision is that of
   * the last start; exits that the replica has not seen count as usage.
   */
  private usageAtMost(team: string, recorded: TeamUsage, modRevision: number): TeamUsage {
    const placed = this.dependencies.placedUsageOf(team, modRevision);
    if (placed === undefined) return recorded;
    return { cpus: Math.min(recorded.cpus, placed.cpus), gpus: Math.min(recorded.gpus, placed.gpus) };
  }

  /** The team whose record an exit may change. */
  teamChangedByExit(spec: JobSpec | undefined): Team | undefined {
    return spec === undefined || this.dependencies.canDeferExits() ? undefined : this.teams.get(spec.team);
  }
}
