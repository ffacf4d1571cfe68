/** Which teams may take back what others use beyond their guarantees. */
import type { JobSpec } from '../../domain/job.js';
import type { Team, TeamUsage } from '../../domain/team.js';
import { guaranteedResourceOf, isBorrowed, isOwedGuarantee } from './queue-order.js';

/** What the claims are judged by; the usages may change in between, as tasks are evicted. */
export interface GuaranteeFacts {
  teams: ReadonlyMap<string, Team>;
  /** What all unfinished jobs of each team ask for together. */
  demands: ReadonlyMap<string, TeamUsage>;
  /** What the tasks of each team use together. */
  usages: ReadonlyMap<string, TeamUsage>;
}

/** Answers on the facts as they are at each call. */
export class GuaranteeClaims {
  constructor(private readonly facts: GuaranteeFacts) {}

  /** Is the job's team entitled to resources for it? */
  isOwed(spec: JobSpec): boolean {
    const team = this.facts.teams.get(spec.team);
    const demand = this.facts.demands.get(spec.team);
    return team !== undefined && demand !== undefined && isOwedGuarantee(team, demand, spec);
  }

  /** Does any other team use so much beyond its guarantee that the job's could have something back? */
  canReclaimAny(spec: JobSpec): boolean {
    const resource = this.claimedResourceOf(spec);
    if (resource === undefined || !this.isOwed(spec)) return false;
    for (const [name, usage] of this.facts.usages) {
      const team = this.facts.teams.get(name);
      if (name !== spec.team && team !== undefined && usage[resource] > team.guaranteed[resource]) return true;
    }
    return false;
  }

  /** For a team's guarantee, tasks of any priority may be evicted that another team runs beyond its own. */
  canReclaim(spec: JobSpec, candidate: JobSpec): boolean {
    const resource = this.claimedResourceOf(spec);
    const team = this.facts.teams.get(candidate.team);
    const usage = this.facts.usages.get(candidate.team);
    if (resource === undefined || team === undefined || usage === undefined) return false;
    return candidate.team !== spec.team && isBorrowed(team, usage, candidate, resource);
  }

  private claimedResourceOf(spec: JobSpec): 'cpus' | 'gpus' | undefined {
    const team = this.facts.teams.get(spec.team);
    return team === undefined ? undefined : guaranteedResourceOf(team, spec);
  }
}
