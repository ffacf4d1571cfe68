/** Returns machines to the cloud, and releases the placements on machines that are confirmed terminated. */
import type { CloudClient } from '../cloud/cloud-client.js';
import { CLUSTER_LEADER_ROLE } from '../domain/role.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { releasePlacement } from '../records/placement-mutations.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import { exitPriority } from '../records/transaction-priority.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { MachineListReader } from './machine-list-reader.js';

/** Maximum number of machines in one scale-in request. */
const MAX_SCALE_IN_AT_ONCE = 50;

/** Dependencies of MachineScaleIn. */
export interface MachineScaleInDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: MachineInventory;
  machineList: MachineListReader;
  transactions: TransactionBatcher;
  accounting: TeamAccounting;
  cloud: CloudClient;
  clock: Clock;
  log: Log;
}

/** Scales in machines. A machine takes no new tasks once its return is requested; if the request fails, it takes them again. */
export class MachineScaleIn {
  /** Ids of machines with an in-flight request to the cloud. */
  private readonly inFlight = new Set<string>();

  constructor(private readonly dependencies: MachineScaleInDependencies) {}

  /** Scales in as many of the candidates as one request may hold; the next round finds the others again. */
  async scaleIn(candidates: ReadonlySet<string>): Promise<void> {
    const { inventory, cloud, clock, log } = this.dependencies;
    const machineIds = [...candidates]
      .filter((machineId) => !this.inFlight.has(machineId))
      .slice(0, MAX_SCALE_IN_AT_ONCE);
    this.releaseTerminated();
    if (machineIds.length === 0) return;
    for (const machineId of machineIds) {
      this.inFlight.add(machineId);
      inventory.scalingIn.add(machineId);
    }
    log.info({ machineIds, atMs: Math.round(clock.now()) }, 'scaling in machines');
    const isConfirmed = await cloud.scaleIn(machineIds);
    for (const machineId of machineIds) this.settle(machineId, isConfirmed);
  }

  private settle(machineId: string, isConfirmed: boolean): void {
    const { inventory, machineList } = this.dependencies;
    this.inFlight.delete(machineId);
    if (!isConfirmed) {
      inventory.scalingIn.delete(machineId);
      return;
    }
    inventory.markTerminated(machineId);
    machineList.remove(machineId);
    this.releasePlacementsOn(machineId);
  }

  /** Releases placements on terminated machines, also those committed later, based on an outdated inventory. */
  private releaseTerminated(): void {
    const { clusterState, inventory } = this.dependencies;
    for (const machineId of clusterState.usedMachines())
      if (inventory.terminated.has(machineId)) this.releasePlacementsOn(machineId);
  }

  /** The cloud's 200 response proves that the machine and all tasks on it have ended. */
  private releasePlacementsOn(machineId: string): void {
    const { clusterState, transactions } = this.dependencies;
    for (const placedTask of [...clusterState.tasksOn(machineId)]) {
      const { jobId, taskIndex } = placedTask;
      void transactions.commit(
        'machine terminated',
        exitPriority(clusterState.jobs.get(jobId)?.record.spec),
        (draft) => this.release(draft, placedTask, machineId),
        { batchingHint: clusterState.batchingHintFor(jobId, taskIndex) },
      );
    }
  }

  private release(draft: TransactionDraft, { jobId, taskIndex }: PlacedTask, machineId: string): boolean {
    const { leadership, accounting } = this.dependencies;
    if (!leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE)) return false;
    return releasePlacement(draft, accounting, {
      ...{ jobId, taskIndex, machineId },
      proof: { kind: 'machine_terminated' },
      ending: 'lost',
    });
  }
}
