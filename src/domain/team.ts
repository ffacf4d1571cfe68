/** Teams, their quotas and their usage. */

/** Amounts that quotas are set in; what 0 means is said where they are used. */
export interface QuotaAmounts {
  cpus: number;
  gpus: number;
}

/** A team, and how much of the cluster it may use. */
export interface Team {
  name: string;
  /** While all unfinished jobs of the team fit in here together, they need not wait for other teams; 0: nothing is guaranteed. */
  guaranteed: QuotaAmounts;
  /** What the team's tasks use together never exceeds it; 0: no limit. */
  limit: QuotaAmounts;
}

/** What the tasks of a team use together. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}
