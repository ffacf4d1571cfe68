import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import type { ReleaseProof } from '../records/placement-rules.js';
import { desiredTaskOf } from './desired-tasks.js';
import type { ExitRecorder } from './exit-recorder.js';
import { machineRole } from './machine-role.js';
import { findProof, type PlacementRelease } from './reconciliation.js';
import type { WorkerRegistry } from './worker-registry.js';

/** What proofs are drawn from, and where releases are recorded. */
export interface PlacementReleaserDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workers: WorkerRegistry;
  exits: ExitRecorder;
  clock: Clock;
}

/** Releases placements on proof that their tasks run no more: by a worker's status, or by the expiry of its lease. */
export class PlacementReleaser {
  constructor(private readonly dependencies: PlacementReleaserDependencies) {}

  /** Records the release; its proof is checked again whenever the transaction is tried. */
  release(machineId: string, role: string, release: PlacementRelease): void {
    const currentProof = () => this.currentProof(machineId, role, release.placedTask);
    this.dependencies.exits.record(machineId, role, release, currentProof);
  }

  /** Releases everything on the machines whose leases have expired. */
  releaseExpired(): void {
    const { leadership, clusterState } = this.dependencies;
    for (const machineId of [...clusterState.usedMachines()]) {
      const role = machineRole(leadership, machineId);
      const held = leadership.leadershipOf(role);
      if (held !== undefined && this.isLeaseExpired(machineId, held)) this.releaseAll(machineId, role);
    }
  }

  private releaseAll(machineId: string, role: string): void {
    for (const placedTask of [...this.dependencies.clusterState.tasksOn(machineId)]) {
      const proof = expiryProof(placedTask);
      this.release(machineId, role, { placedTask, proof, ending: 'lost', task: undefined });
    }
  }

  private isLeaseExpired(machineId: string, held: HeldLeadership): boolean {
    const { leadership, workers, clock } = this.dependencies;
    return leadership.hasRecentStoreContact && clock.now() > workers.leaseExpiresAt(machineId, held);
  }

  /**
   * The proof that a placement can be released, by what is known at this very moment. A decision waits for its turn at the
   * store, and what proved it may not hold any more by then.
   */
  private currentProof(machineId: string, role: string, placedTask: PlacedTask): ReleaseProof | undefined {
    const { leadership, clusterState, workers } = this.dependencies;
    const held = leadership.leadershipOf(role);
    if (held === undefined) return undefined;
    const worker = workers.get(machineId);
    const desired = desiredTaskOf(clusterState, placedTask);
    const shown = worker === undefined ? undefined : findProof(worker, desired, held.fencingToken);
    if (shown !== undefined) return shown.proof;
    return this.isLeaseExpired(machineId, held) ? expiryProof(placedTask) : undefined;
  }
}

/** The lease of the placement's agent epoch has expired, as this node knows by itself. */
const expiryProof = ({ placement }: PlacedTask): ReleaseProof => ({
  kind: 'lease_expired',
  agentEpoch: placement.agentEpoch,
});
