import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import type { ReleaseProof } from '../records/placement-rules.js';
import { desiredTaskOf } from './desired-tasks.js';
import type { ExitRecorder } from './exit-recorder.js';
import { machineRole } from './machine-role.js';
import { findProvenRelease, type PlacementRelease } from './reconciliation.js';
import type { WorkerRegistry } from './worker-registry.js';

/** The state that proofs are derived from, and the recorder of releases. */
export interface PlacementReleaserDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workers: WorkerRegistry;
  exitRecorder: ExitRecorder;
  clock: Clock;
}

/** Releases placements on proof that their tasks no longer run: a worker's status, or the expiry of its lease. */
export class PlacementReleaser {
  constructor(private readonly dependencies: PlacementReleaserDependencies) {}

  /** Records the release; its proof is checked again on each try of the transaction. */
  release(machineId: string, role: string, release: PlacementRelease): void {
    const currentProof = () => this.currentProof(machineId, role, release.placedTask);
    this.dependencies.exitRecorder.record(machineId, role, release, currentProof);
  }

  /** Releases all placements on machines whose leases have expired. */
  releaseExpired(): void {
    const { leadership, clusterState } = this.dependencies;
    for (const machineId of [...clusterState.usedMachines()]) {
      const role = machineRole(leadership, machineId);
      const held = leadership.leadershipOf(role);
      if (held !== undefined && this.isLeaseExpired(machineId, held)) this.releaseAllOn(machineId, role);
    }
  }

  private releaseAllOn(machineId: string, role: string): void {
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
   * The proof, as of now, that a placement can be released. A mutation waits before it is committed, and the proof that
   * it was requested with may no longer hold by then.
   */
  private currentProof(machineId: string, role: string, placedTask: PlacedTask): ReleaseProof | undefined {
    const { leadership, clusterState, workers } = this.dependencies;
    const held = leadership.leadershipOf(role);
    if (held === undefined) return undefined;
    const worker = workers.get(machineId);
    const desired = desiredTaskOf(clusterState, placedTask);
    const provenRelease = worker === undefined ? undefined : findProvenRelease(worker, desired, held.fencingToken);
    if (provenRelease !== undefined) return provenRelease.proof;
    return this.isLeaseExpired(machineId, held) ? expiryProof(placedTask) : undefined;
  }
}

/** Proof by this node's own clock that the lease of the placement's agent epoch has expired. */
const expiryProof = ({ placement }: PlacedTask): ReleaseProof => ({
  kind: 'lease_expired',
  agentEpoch: placement.agentEpoch,
});
