/** What the placed tasks of each team use together, kept up with every change, not summed anew. */
import type { JobSpec } from '../domain/job.js';
import { roundAmount } from '../domain/resources.js';
import type { TeamUsage } from '../domain/team.js';

const NOTHING: Readonly<TeamUsage> = { cpus: 0, gpus: 0 };

/** A usage with one task of the job added, or taken off it. */
export const withTask = (usage: Readonly<TeamUsage>, spec: JobSpec, tasks: 1 | -1): TeamUsage => ({
  cpus: roundAmount(usage.cpus + tasks * spec.cpus),
  gpus: roundAmount(usage.gpus + tasks * spec.gpus),
});

/** Running totals of what each team's placed tasks use. */
export class TeamUsageIndex {
  private readonly usages = new Map<string, TeamUsage>();

  /** By team; without the teams that never had a task placed. */
  get all(): ReadonlyMap<string, Readonly<TeamUsage>> {
    return this.usages;
  }

  usageOf(team: string): Readonly<TeamUsage> {
    return this.usages.get(team) ?? NOTHING;
  }

  /** Counts a task of the job that has been placed, or has left its machine. */
  count(spec: JobSpec, tasks: 1 | -1): void {
    this.usages.set(spec.team, withTask(this.usageOf(spec.team), spec, tasks));
  }
}
