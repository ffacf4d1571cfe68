/**
 * What each team uses, as its record in the store has it. The record is never less than what the team's tasks use: every start
 * adds to it, under the condition that nobody else has changed it. Exits far below the team's limit leave it as it is, since
 * a change of a record that all controllers write for every task of a team is what the store's rate of changes allows least;
 * the next start sets it to what the ledger shows, if the copy is known to hold every start that the record counts.
 */
import { DEFERRED_EXIT_SHARE } from '../constants/records.js';
import type { Team, TeamUsage } from '../domain/team.js';
import { decodeTeamUsage, encodeTeamUsage } from './record-codecs.js';
import { teamKey } from './record-keys.js';
import type { JobSpec } from '../domain/job.js';
import { isLimited } from './placement-rules.js';
import { withTask } from './team-usage-index.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { StoredValue } from '../store/replica.js';

export interface TeamAccountingDependencies {
  teams: readonly Team[];
  /** What a team's places use by the ledger; undefined unless the copy holds all that happened up to the revision. */
  placedUsageOf: (team: string, upTo: number) => TeamUsage | undefined;
  recordOf: (key: string) => StoredValue;
  /** Do all controllers know that a record may be more than its team uses? */
  canDeferExits: () => boolean;
}

/** Is there so much room under the limit that the next start need not know of every exit? */
const isFarBelow = (use: TeamUsage, { limit }: Team): boolean =>
  (limit.cpus === 0 || use.cpus <= limit.cpus * DEFERRED_EXIT_SHARE) &&
  (limit.gpus === 0 || use.gpus <= limit.gpus * DEFERRED_EXIT_SHARE);

export class TeamAccounting {
  private readonly teams: ReadonlyMap<string, Team>;

  constructor(private readonly dependencies: TeamAccountingDependencies) {
    this.teams = new Map(dependencies.teams.map((team) => [team.name, team]));
  }

  /** What the job's team uses at most; a condition of the draft from then on. */
  usageOf(draft: TransactionDraft, team: Team, spec: JobSpec): TeamUsage {
    if (!isLimited(team, spec)) return { cpus: 0, gpus: 0 };
    const key = teamKey(team.name);
    const isCounted = draft.hasWritten(key);
    const recorded = decodeTeamUsage(draft.get(key));
    if (isCounted) return recorded;
    return this.atMost(team.name, recorded, draft.conditions.get(key) ?? Infinity);
  }

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
      this.dependencies.canDeferExits() && !draft.hasWritten(key) && isFarBelow(decodeTeamUsage(draft.peek(key)), team)
    );
  }

  /** Does a team's record say more than the ledger shows? */
  isOverstated(team: string): boolean {
    return this.settledUse(team, this.dependencies.recordOf(teamKey(team))) !== undefined;
  }

  /** Sets a team's record to what the ledger shows, if that is less. */
  settle(draft: TransactionDraft, team: string): boolean {
    const key = teamKey(team);
    if (draft.hasWritten(key)) return false;
    const value = draft.get(key);
    const use = this.settledUse(team, { value, modRevision: draft.conditions.get(key) ?? Infinity });
    if (use === undefined) return false;
    draft.set(key, encodeTeamUsage(use));
    return true;
  }

  /** What a team's record should say, where that is less than what it says. */
  private settledUse(team: string, { value, modRevision }: StoredValue): TeamUsage | undefined {
    if (value === undefined) return undefined;
    const recorded = decodeTeamUsage(value);
    const use = this.atMost(team, recorded, modRevision);
    return use.cpus < recorded.cpus || use.gpus < recorded.gpus ? use : undefined;
  }

  /**
   * The smaller of what the record and the ledger say. Every start changes the record, so its Stamp is that of the last one;
   * exits that the copy has not seen count as use.
   */
  private atMost(team: string, recorded: TeamUsage, modRevision: number): TeamUsage {
    const placed = this.dependencies.placedUsageOf(team, modRevision);
    if (placed === undefined) return recorded;
    return { cpus: Math.min(recorded.cpus, placed.cpus), gpus: Math.min(recorded.gpus, placed.gpus) };
  }

  /** The team whose record an exit may change. */
  teamChangedByExit(spec: JobSpec | undefined): Team | undefined {
    return spec === undefined || this.dependencies.canDeferExits() ? undefined : this.teams.get(spec.team);
  }
}
