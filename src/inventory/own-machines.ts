/** The machines of the partitions that this node leads. */
import type { MachineInfo } from '../domain/machine-state.js';
import type { Settings } from '../domain/settings.js';
import type { Clock } from '../net/clock.js';
import type { Worker } from '../workers/worker.js';
import type { WorkerRegistry } from '../workers/worker-registry.js';
import { ownLeadershipOver, type PartitionLeadership } from './machine-leadership.js';
import type { PeerMachineReports } from './peer-machine-reports.js';

/** Dependencies of OwnMachines. */
export interface OwnMachinesDependencies {
  settings: Settings;
  leadership: PartitionLeadership;
  workers: WorkerRegistry;
  peerReports: PeerMachineReports;
  clock: Clock;
}

/** Describes these machines from their workers' heartbeats or, until a heartbeat arrives, from the former leader's gossip. */
export class OwnMachines {
  constructor(private readonly dependencies: OwnMachinesDependencies) {}

  /** The machine as its worker's heartbeats describe it, or undefined if none has arrived here. */
  get(machineId: string): MachineInfo | undefined {
    const worker = this.dependencies.workers.get(machineId);
    return worker === undefined ? undefined : this.describe(worker);
  }

  /** All machines; those with heartbeats received here come first. */
  list(): MachineInfo[] {
    const { settings, leadership, workers, peerReports } = this.dependencies;
    const machines = [...workers.values()].map((worker) => this.describe(worker));
    // A machine without a heartbeat since this node became leader is treated as if it had sent one at that time.
    for (const machine of peerReports.machines.values()) {
      const ownLeadership = ownLeadershipOver(leadership, machine.machineId);
      if (ownLeadership === undefined || workers.has(machine.machineId)) continue;
      const lastHeartbeatAt = Math.max(machine.lastHeartbeatAt, ownLeadership.term.acquiredAt);
      machines.push({ ...machine, lastHeartbeatAt, partitionLeader: settings.node });
    }
    return machines;
  }

  private describe(worker: Worker): MachineInfo {
    const { settings, clock } = this.dependencies;
    const now = clock.now();
    return {
      machineId: worker.machineId,
      endpoint: worker.endpoint,
      machineType: worker.machineType,
      zone: worker.zone,
      isSpot: worker.isSpot,
      agentEpoch: worker.agentEpoch,
      sequence: worker.sequence,
      lastHeartbeatAt: worker.lastHeartbeatAt,
      spotTerminationAt: worker.spotTerminationAt,
      isQuarantined: worker.isQuarantined(now),
      isBackingOff: now < worker.backoffUntil,
      isUnreached: !worker.isReached,
      isSlow: worker.isSlow(now),
      isMute: worker.hasExpiredDespiteHeartbeats(now, settings.cluster.workers.workerLeaseMs),
      images: [...worker.images.keys()],
      failedJobs: worker.failedJobs(now),
      partitionLeader: settings.node,
    };
  }
}
