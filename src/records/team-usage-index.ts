/** Total usage of each team's placed tasks, updated with every change instead of being recomputed. */
import type { JobSpec } from '../domain/job.js';
import { roundAmount } from '../domain/resources.js';
import type { TeamUsage } from '../domain/team.js';

const NO_USAGE: Readonly<TeamUsage> = { cpus: 0, gpus: 0 };

/** The usage with one task of the job added or subtracted. */
export const adjustUsage = (usage: Readonly<TeamUsage>, spec: JobSpec, taskDelta: 1 | -1): TeamUsage => ({
  cpus: roundAmount(usage.cpus + taskDelta * spec.cpus),
  gpus: roundAmount(usage.gpus + taskDelta * spec.gpus),
});

/** Running totals of the usage of each team's placed tasks. */
export class TeamUsageIndex {
  private readonly usages = new Map<string, TeamUsage>();

  /** By team; teams that never had a placed task are missing. */
  get all(): ReadonlyMap<string, Readonly<TeamUsage>> {
    return this.usages;
  }

  usageOf(team: string): Readonly<TeamUsage> {
    return this.usages.get(team) ?? NO_USAGE;
  }

  /** Counts a task of the job that has been placed (1) or has left its machine (-1). */
  count(spec: JobSpec, taskDelta: 1 | -1): void {
    this.usages.set(spec.team, adjustUsage(this.usageOf(spec.team), spec, taskDelta));
  }
}
