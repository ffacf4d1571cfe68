/** Teams, their quotas and their usage. */

/** Amounts of a quota; the meaning of 0 is documented where they are used. */
export interface QuotaAmounts {
  cpus: number;
  gpus: number;
}

/** A team and its share of the cluster. */
export interface Team {
  name: string;
  /** While all unfinished jobs of the team together fit these amounts, they do not wait for other teams; 0: no guarantee. */
  guaranteed: QuotaAmounts;
  /** Maximum that the team's tasks may use together; 0: no limit. */
  limit: QuotaAmounts;
}

/** The resources that the tasks of a team use together. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}
