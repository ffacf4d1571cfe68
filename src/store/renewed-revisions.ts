import type { Count } from '../domain/count.js';

/** Number of former revisions that are kept of each record: a transaction does not wait for more renewals than that. */
const MAX_FORMER_REVISIONS = 20;

/** A record's latest revision, and the former ones that it stands for. */
interface Renewal {
  latest: Count;
  readonly former: Set<Count>;
}

/**
 * Revisions of records that this process has rewritten without changing their meaning, as an advance of a fencing token
 * does. A decision that was based on a former revision holds under the latest one: nobody else wrote the record in between.
 */
export class RenewedRevisions {
  private readonly renewals = new Map<string, Renewal>();

  /** Records that this process has replaced the former revision, and nothing else, by the latest one. */
  record(key: string, former: Count, latest: Count): void {
    const previous = this.renewals.get(key);
    const renewal = previous?.latest === former ? previous : { latest, former: new Set<Count>() };
    renewal.latest = latest;
    renewal.former.add(former);
    for (const oldest of renewal.former) {
      if (renewal.former.size <= MAX_FORMER_REVISIONS) break;
      renewal.former.delete(oldest);
    }
    this.renewals.set(key, renewal);
  }

  /** The revision to compare with in place of this one. */
  latestOf(key: string, revision: Count): Count {
    const renewal = this.renewals.get(key);
    return renewal?.former.has(revision) === true ? renewal.latest : revision;
  }
}
