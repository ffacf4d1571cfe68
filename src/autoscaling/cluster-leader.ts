/** The duties of the cluster leader: catalog, scale-out, scale-in, preemption, and evictions before spot terminations. */
import { LIST_PERIOD_MS, SCALE_OUT_PERIOD_MS, SCALE_OUT_ROUNDS, STATUS_PERIOD_MS } from '../constants/autoscaling.js';
import { PREEMPT_PERIOD_MS } from '../constants/scheduling.js';
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { LeaderAdvisoryState } from '../leadership/advisory-state.js';
import type { Invariants } from '../logging/invariants.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import { EvictionMarker } from '../scheduling/eviction-marker.js';
import { Preemptor } from '../scheduling/preemptor.js';
import { Autoscaler, type AutoscalerDependencies } from './autoscaler.js';
import { clusterStatus } from './cluster-status.js';
import { IdleMachineDetector } from './idle-machine-detector.js';
import { MachineListReader } from './machine-list-reader.js';
import { MachineScaleIn } from './machine-scale-in.js';
import { MachineTypeReader } from './machine-type-reader.js';
import { SpotNoticeEvictor } from './spot-notice-evictor.js';
import { UnresponsiveMachineDetector } from './unresponsive-machine-detector.js';
import { UnusableMachineDetector } from './unusable-machine-detector.js';

/** Dependencies of all the leader's duties. */
export interface ClusterLeaderDependencies extends Omit<AutoscalerDependencies, 'machineList'> {
  accounting: TeamAccounting;
  peerDirectory: PeerDirectory;
  invariants: Invariants;
}

/** Runs each duty periodically while this node is the cluster leader; on other nodes it only holds the advisory state. */
export class ClusterLeader {
  private readonly evictionMarker: EvictionMarker;
  private readonly preemptor: Preemptor;
  private readonly autoscaler: Autoscaler;
  private readonly machineTypes: MachineTypeReader;
  private readonly machineList: MachineListReader;
  private readonly unresponsiveMachines: UnresponsiveMachineDetector;
  private readonly unusableMachines: UnusableMachineDetector;
  private readonly idleMachines: IdleMachineDetector;
  private readonly spotNoticeEvictor: SpotNoticeEvictor;
  private readonly machineScaleIn: MachineScaleIn;

  constructor(private readonly dependencies: ClusterLeaderDependencies) {
    const { leadership, clusterState, transactions, cloud, clock, log } = dependencies;
    const evictionMarker = new EvictionMarker({ leadership, clusterState, transactions, clock, log });
    this.evictionMarker = evictionMarker;
    this.preemptor = new Preemptor({ ...dependencies, evictionMarker });
    this.machineTypes = new MachineTypeReader(dependencies);
    this.machineList = new MachineListReader(cloud);
    this.unresponsiveMachines = new UnresponsiveMachineDetector(dependencies);
    this.unusableMachines = new UnusableMachineDetector({ ...dependencies, machineList: this.machineList });
    this.idleMachines = new IdleMachineDetector(dependencies);
    this.spotNoticeEvictor = new SpotNoticeEvictor({ ...dependencies, evictionMarker: this.evictionMarker });
    this.machineScaleIn = new MachineScaleIn({ ...dependencies, machineList: this.machineList });
    this.autoscaler = new Autoscaler({ ...dependencies, machineList: this.machineList });
  }

  /** The advisory state that the leader keeps besides the records, for the next leader to take over. */
  get advisoryState(): LeaderAdvisoryState {
    return {
      recentEvictions: () => this.evictionMarker.recentEvictions(),
      refusedOffers: () => this.autoscaler.recentlyRefusedOffers(),
      idleMachines: () => this.idleMachines.recentlyIdle(),
      restoreEviction: (attempt, at) => this.evictionMarker.restoreEviction(attempt, at),
      restoreRefusal: (offer, at) => this.autoscaler.restoreRefusal(offer, at),
      restoreIdle: (machineId, at) => this.idleMachines.restore(machineId, at),
    };
  }

  /** Endpoint of a machine that has sent this node no heartbeat; undefined if neither peers nor the cloud's list have it. */
  endpointOf(machineId: string): string | undefined {
    const { inventory } = this.dependencies;
    return inventory.peerReportOf(machineId)?.endpoint ?? this.machineList.machines.get(machineId)?.endpoint;
  }

  /** Runs the duties until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.repeatWhileLeading(SCALE_OUT_PERIOD_MS / 4, signal, () => this.machineTypes.read()),
      this.repeatWhileLeading(LIST_PERIOD_MS, signal, () => this.machineList.read()),
      this.repeatWhileLeading(SCALE_OUT_PERIOD_MS, signal, () => this.scaleOut()),
      this.repeatWhileLeading(SCALE_OUT_PERIOD_MS / 4, signal, () => this.maintainMachines()),
      this.repeatWhileLeading(PREEMPT_PERIOD_MS / 2, signal, () => this.preemptor.round()),
      this.repeatWhileLeading(STATUS_PERIOD_MS, signal, () => this.logStatus()),
    ]);
  }

  /** A failed run is logged; the duty is run again after the period, and other duties are not affected. */
  private async repeatWhileLeading(
    periodMs: number,
    signal: AbortSignal,
    duty: () => Promise<void> | void,
  ): Promise<void> {
    const { leadership, clock, log } = this.dependencies;
    while (!signal.aborted) {
      try {
        if (leadership.isClusterLeader) await duty();
      } catch (error) {
        log.error({ error: (error as Error).stack }, 'leader duty failed');
      }
      await clock.sleep(periodMs, signal);
    }
  }

  /** After a refusal, requests other offers at once, since a machine takes long to boot in any case. */
  private async scaleOut(): Promise<void> {
    for (let round = 0; round < SCALE_OUT_ROUNDS; round++) {
      const mayFindMore = await this.autoscaler.round();
      if (!mayFindMore) return;
    }
  }

  /** Scales in machines that are unresponsive, unusable or idle, and evicts tasks from machines with a spot notice. */
  private async maintainMachines(): Promise<void> {
    const machines = this.dependencies.inventory.machines();
    const candidates = new Set([
      ...this.unresponsiveMachines.find(machines),
      ...this.unusableMachines.find(machines),
      ...this.idleMachines.find(),
    ]);
    this.spotNoticeEvictor.evict(machines);
    await this.machineScaleIn.scaleIn(candidates);
  }

  private logStatus(): void {
    this.dependencies.log.info({ ...clusterStatus(this.dependencies) }, 'cluster status');
  }
}
