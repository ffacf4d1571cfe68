/** Determines which teams may reclaim the resources that other teams use beyond their guarantees. */
import type { JobSpec } from '../../domain/job.js';
import type { Team, TeamUsage } from '../../domain/team.js';
import { guaranteedResourceOf, isBorrowed, isDemandWithinGuarantee } from './queue-order.js';

/** The state that claims are evaluated on; the usages change between calls as tasks are evicted. */
export interface GuaranteeInputs {
  teams: ReadonlyMap<string, Team>;
  /** Resources that all unfinished jobs of each team request together, by team. */
  demands: ReadonlyMap<string, TeamUsage>;
  /** Resources that the tasks of each team use together, by team. */
  usages: ReadonlyMap<string, TeamUsage>;
}

/** Evaluates claims on the current inputs at each call. */
export class GuaranteeClaims {
  constructor(private readonly inputs: GuaranteeInputs) {}

  /** Whether the job's team is entitled to resources for the job. */
  isEntitled(spec: JobSpec): boolean {
    const team = this.inputs.teams.get(spec.team);
    const demand = this.inputs.demands.get(spec.team);
    return team !== undefined && demand !== undefined && isDemandWithinGuarantee(team, demand, spec);
  }

  /** Whether the job's team is entitled to resources and any other team uses more than its guarantee. */
  canReclaimAny(spec: JobSpec): boolean {
    const resource = this.claimedResourceOf(spec);
    if (resource === undefined || !this.isEntitled(spec)) return false;
    for (const [name, usage] of this.inputs.usages) {
      const team = this.inputs.teams.get(name);
      if (name !== spec.team && team !== undefined && usage[resource] > team.guaranteed[resource]) return true;
    }
    return false;
  }

  /** Whether `candidate`, of any priority, runs beyond its own team's guarantee and may be evicted for the job's team. */
  canReclaim(spec: JobSpec, candidate: JobSpec): boolean {
    const resource = this.claimedResourceOf(spec);
    const team = this.inputs.teams.get(candidate.team);
    const usage = this.inputs.usages.get(candidate.team);
    if (resource === undefined || team === undefined || usage === undefined) return false;
    return candidate.team !== spec.team && isBorrowed(team, usage, candidate, resource);
  }

  private claimedResourceOf(spec: JobSpec): 'cpus' | 'gpus' | undefined {
    const team = this.inputs.teams.get(spec.team);
    return team === undefined ? undefined : guaranteedResourceOf(team, spec);
  }
}
