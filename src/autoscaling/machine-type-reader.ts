/** Keeps the stored catalog of machine types up to date with the cloud's. */
import type { CloudClient } from '../cloud/cloud-client.js';
import { decodeMachineType, type StoredMachineType } from '../cloud/cloud-wire-codec.js';
import { CATALOG_PERIOD_MS } from '../constants/autoscaling.js';
import type { MachineType } from '../domain/machine-type.js';
import { CLUSTER_LEADER_ROLE } from '../domain/role.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import { machineTypeKey } from '../records/record-keys.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';

/** Dependencies of MachineTypeReader. */
export interface MachineTypeReaderDependencies {
  leadership: RoleLeadership;
  transactions: TransactionBatcher;
  cloud: CloudClient;
  clock: Clock;
}

/** Reads the cloud's machine types at most once a period, and stores those that have changed. */
export class MachineTypeReader {
  private lastReadAtMs = -Infinity;

  constructor(private readonly dependencies: MachineTypeReaderDependencies) {}

  /** Does nothing while the last successful read is recent; a failed read is retried at the next call. */
  async read(): Promise<void> {
    const { clock, cloud, transactions } = this.dependencies;
    const nowMs = clock.now();
    if (nowMs - this.lastReadAtMs < CATALOG_PERIOD_MS) return;
    const machineTypes = await cloud.machineTypes();
    if (machineTypes === undefined) return;
    this.lastReadAtMs = nowMs;
    // One mutation per type, since all types together may exceed what one transaction can hold.
    await Promise.all(
      machineTypes.map((machineType) =>
        transactions.commit('catalog', Priority.record, (draft) => this.storeIfChanged(draft, machineType)),
      ),
    );
  }

  private storeIfChanged(draft: TransactionDraft, stored: StoredMachineType): boolean {
    if (!this.dependencies.leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE)) return false;
    const current = decodeMachineType(stored)!;
    const key = machineTypeKey(current.name);
    const previous = decodeMachineType(draft.get(key));
    if (previous !== undefined && isEqualExceptPrices(previous, current)) return false;
    draft.set(key, stored);
    return true;
  }
}

/** Prices change all the time; only a change that matters for bin packing is worth a write. */
function isEqualExceptPrices(a: MachineType, b: MachineType): boolean {
  const withoutPrices = (each: MachineType) => JSON.stringify({ ...each, hourlyPrice: 0, spotHourlyPrice: 0 });
  return withoutPrices(a) === withoutPrices(b);
}
