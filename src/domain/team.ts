/** Teams, their quotas and what they use. */

/** Amounts that quotas are set in; 0 means that there is none of the kind. */
export interface QuotaAmounts {
  cpus: number;
  gpus: number;
}

/** A team, and how much of the cluster it may use. */
export interface Team {
  name: string;
  /** While all unfinished jobs of the team fit in here together, they need not wait for other teams. */
  guaranteed: QuotaAmounts;
  /** What the team's tasks use together never exceeds it; 0: no limit. */
  limit: QuotaAmounts;
}

/** What the tasks of a team use together. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}
