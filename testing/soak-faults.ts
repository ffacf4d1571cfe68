/** Carries out the faults of a soak schedule on a cluster of real processes. */
import type { Clock } from '../src/net/clock.js';
import type { LoopbackCluster } from './loopback-cluster.js';
import type { LoopbackWorker } from './loopback-workers.js';
import type { SoakFault } from './soak-schedule.js';

type WorkerLinkFault = Extract<SoakFault, { kind: 'workers' | 'workers_cut_from_node' | 'copies' }>;

/** Begins faults and ends them again. */
export class SoakFaults {
  /** Number of store outages that are in force. */
  private outages = 0;

  constructor(
    private readonly cluster: LoopbackCluster,
    private readonly nodes: number,
    private readonly clock: Clock,
  ) {}

  /** Resolves when all faults have ended. */
  async play(faults: readonly SoakFault[]): Promise<void> {
    await Promise.all(faults.map((fault) => this.playOne(fault)));
  }

  private async playOne(fault: SoakFault): Promise<void> {
    await this.clock.sleep(fault.atMs);
    const end = this.begin(fault);
    await this.clock.sleep(fault.forMs);
    end();
  }

  private nodeOf(node: number | 'leader'): number {
    return node === 'leader' ? (this.cluster.claimOf('leader')?.node ?? 0) : node;
  }

  /** Returns a function that ends the fault. */
  private begin(fault: SoakFault): () => void {
    switch (fault.kind) {
      case 'kill':
        return this.kill([this.nodeOf(fault.node)]);
      case 'kill_all':
        return this.kill(Array.from({ length: this.nodes }, (_, index) => index));
      case 'freeze':
        return this.freeze(this.nodeOf(fault.node));
      case 'store_outage':
        return this.storeOutage();
      case 'store_link': {
        const link = this.cluster.storeLinks[this.nodeOf(fault.node)]!;
        link.setFault(fault.fault);
        return () => link.restore();
      }
      case 'store_delay': {
        const link = this.cluster.storeLinks[fault.node]!;
        link.delayMs = fault.delayMs;
        return () => (link.delayMs = 0);
      }
      case 'peer_cut': {
        const link = this.cluster.peerLinks.get(`${fault.from}>${fault.to}`)!;
        link.cut();
        return () => link.restore();
      }
      default:
        return this.beginOnWorkerLinks(fault);
    }
  }

  private beginOnWorkerLinks(fault: WorkerLinkFault): () => void {
    switch (fault.kind) {
      case 'workers':
        return this.disturbWorkers(fault.share, fault.fault);
      case 'workers_cut_from_node':
        return this.cutWorkersFrom(`n${fault.node}`);
      case 'copies':
        return this.copyRequests(fault.share);
    }
  }

  /** Copies requests to the workers, to the store and of heartbeats. */
  private copyRequests(share: number): () => void {
    const { copies } = this.cluster.workers;
    copies.share = share;
    return () => (copies.share = 0);
  }

  private kill(indexes: readonly number[]): () => void {
    for (const index of indexes) this.cluster.signalController(index, 'SIGKILL');
    return () => {
      for (const index of indexes) this.cluster.startController(index);
    };
  }

  private freeze(index: number): () => void {
    this.cluster.signalController(index, 'SIGSTOP');
    return () => this.cluster.signalController(index, 'SIGCONT');
  }

  private storeOutage(): () => void {
    this.outages++;
    this.cluster.store.isUnavailable = true;
    return () => {
      this.outages--;
      if (this.outages === 0) this.cluster.store.endOutage();
    };
  }

  private disturbWorkers(share: number, fault: 'cut' | 'deaf' | 'mute'): () => void {
    const { workers } = this.cluster.workers;
    const affected = this.cluster.random.sample(workers, Math.ceil(workers.length * share));
    const set = (worker: LoopbackWorker, isOn: boolean): void => {
      if (fault === 'cut') worker.isCut = isOn;
      else if (fault === 'deaf') worker.isDeaf = isOn;
      else worker.isMute = isOn;
    };
    for (const worker of affected) set(worker, true);
    return () => affected.forEach((worker) => set(worker, false));
  }

  private cutWorkersFrom(node: string): () => void {
    const { workers } = this.cluster.workers;
    for (const worker of workers) worker.unreachableNodes.add(node);
    return () => workers.forEach((worker) => worker.unreachableNodes.delete(node));
  }
}
