import {
  FAULTY_JOB_LEAST,
  FAULTY_JOB_SHARE,
  FLEET_VIEW_MS,
  FORGET_MACHINE_MS,
  RETURNED_MACHINES_KEPT,
  GOSSIP_STALE_MS,
  SICK_ERRORS,
  SILENT_REPORTS,
  MISDIRECTED_WORKERS_KEPT,
} from '../constants.js';
import type { Settings } from '../config/settings.js';
import type { Clock } from '../net/clock.js';
import type { Claims, Held } from './claims.js';
import { partitionRole } from './claims.js';
import type { Owner } from './owner.js';
import type { MachineState } from '../workers/machine-state.js';
import { isNewerThan, type Report } from '../workers/report.js';
import type { Worker } from '../workers/worker.js';

export interface Flavor {
  sku: string;
  cpus: number;
  cards: number;
  memGb: number;
  localGb: number;
  fetchGbPerS: number;
  hourly: number;
  lowPrice: number;
  bootS: number;
  sites: string[];
}

/** A machine as every node may know it: from its own workers' reports or from the owner's gossip. */
export interface MachineInfo extends MachineState {
  /** Steady ms, this node's clock. */
  heardAt: number;
  /** Steady ms when the cloud takes it away, or null. */
  warnedUntil: number | null;
}

/** All machines that are known to be up, and the catalogue of their types. */
export class Fleet {
  private readonly told = new Map<string, MachineInfo>();
  catalog = new Map<string, Flavor>();
  /** Machines that are being given back: no new work. */
  readonly leaving = new Set<string>();

  constructor(
    private readonly settings: Settings,
    private readonly claims: Claims,
    private readonly owner: Owner,
    private readonly clock: Clock,
  ) {}

  /** Steady ms as of which the owner of each machine said what is told of it. */
  private readonly knownAt = new Map<string, number>();

  /** Does somebody who would know say just now what he knows of the machine? Old news prove nothing. */
  isCurrent(host: string): boolean {
    if (this.heldFor(host) !== undefined) return true;
    return this.clock.now() - (this.knownAt.get(host) ?? -Infinity) < GOSSIP_STALE_MS;
  }

  /** What a peer says of a machine, by itself or on behalf of the owner, as of `knownAt`. */
  hear(machine: MachineInfo, knownAt: number): void {
    if (this.gone.has(machine.host) || (this.knownAt.get(machine.host) ?? -Infinity) >= knownAt) return;
    this.knownAt.set(machine.host, knownAt);
    this.told.set(machine.host, machine);
  }

  /** The owner says that nothing is new but when it heard the machine. False: what it said before is not known here. */
  hearAgain(host: string, owner: string, heardAt: number, tick: number, now: number): boolean {
    const machine = this.told.get(host);
    if (this.gone.has(host)) return true;
    if (machine?.owner !== owner || machine.warnedUntil !== null) return false;
    machine.heardAt = heardAt;
    machine.tick = tick;
    this.knownAt.set(host, now);
    return true;
  }

  /** What others have said lately, to be passed on: a cut between two nodes is got round by way of the third. */
  *passOn(wanted: (owner: string) => boolean): Iterable<{ machine: MachineInfo; knownAt: number }> {
    for (const [host, machine] of this.told) {
      const knownAt = this.knownAt.get(host)!;
      const lately = this.clock.now() - knownAt < GOSSIP_STALE_MS;
      if (lately && wanted(machine.owner) && !this.owner.workers.has(host)) yield { machine, knownAt };
    }
  }

  /** The machines of this node's own partitions. */
  own(): MachineInfo[] {
    const list = [...this.owner.workers.values()].map((worker) => this.describe(worker));
    // What a former owner said of machines that have not reported since: they count as heard when this node took over.
    for (const machine of this.told.values()) {
      const held = this.heldFor(machine.host);
      if (held === undefined || this.owner.workers.has(machine.host)) continue;
      list.push({ ...machine, heardAt: Math.max(machine.heardAt, held.acquisition.at), owner: this.settings.node });
    }
    return list;
  }

  private heldFor(host: string): Held | undefined {
    return this.claims.holding(partitionRole(this.claims.partitionOf(host)));
  }

  private describe(worker: Worker): MachineInfo {
    const now = this.clock.now();
    return {
      host: worker.host,
      endpoint: worker.endpoint,
      flavor: worker.flavor,
      site: worker.site,
      reclaimable: worker.reclaimable,
      tenure: worker.tenure,
      tick: worker.tick,
      heardAt: worker.reportedAt,
      warnedUntil: worker.warnedUntil,
      sick: worker.isSick(now),
      cooling: now < worker.coolUntil,
      unreached: !worker.isReached,
      slow: worker.isSlow(now),
      mute: worker.isMute(now, this.settings.cluster.workers.lease_s),
      images: [...worker.images.keys()],
      failedJobs: worker.failedJobs(now),
      owner: this.settings.node,
    };
  }

  tenureOf(host: string): number | undefined {
    return (this.owner.workers.get(host) ?? this.told.get(host))?.tenure;
  }

  get(host: string): MachineInfo | undefined {
    const worker = this.owner.workers.get(host);
    return worker === undefined ? this.told.get(host) : this.describe(worker);
  }

  /** Every machine, this node's own view first; the same for all who ask within a moment. */
  all(): ReadonlyMap<string, MachineInfo> {
    return this.view().all;
  }

  /** The machines that new work may go to. */
  open(): MachineInfo[] {
    const { open } = this.view();
    return this.leaving.size === 0 ? [...open] : open.filter(({ host }) => !this.leaving.has(host));
  }

  private seenView: { at: number; workers: number; told: number; all: Map<string, MachineInfo>; open: MachineInfo[] } =
    {
      at: -Infinity,
      workers: 0,
      told: 0,
      all: new Map(),
      open: [],
    };

  /** Describing hundreds of machines anew for each duty that looks at them would cost more than what they do with it. */
  private view() {
    const now = this.clock.now();
    const workers = this.owner.workers.size;
    const told = this.told.size;
    const last = this.seenView;
    if (now - last.at < FLEET_VIEW_MS && last.workers === workers && last.told === told) return last;
    const all = new Map(this.told);
    for (const machine of this.own()) all.set(machine.host, machine);
    this.acquit(all);
    const open = [...all.values()].filter((machine) => this.isOpen(machine));
    this.seenView = { at: now, workers, told, all, open };
    return this.seenView;
  }

  /** A job that fails on many machines was submitted with a mistake: no machine is sick for its failures. */
  private acquit(machines: Map<string, MachineInfo>): void {
    const counts = new Map<string, number>();
    for (const { failedJobs } of machines.values()) {
      for (const job of failedJobs) counts.set(job, (counts.get(job) ?? 0) + 1);
    }
    const many = Math.max(FAULTY_JOB_LEAST, Math.ceil(machines.size * FAULTY_JOB_SHARE));
    for (const [host, machine] of machines) {
      if (!machine.sick) continue;
      const against = machine.failedJobs.filter((job) => counts.get(job)! < many);
      if (against.length < SICK_ERRORS) machines.set(host, { ...machine, sick: false });
    }
  }

  known(host: string): MachineInfo | undefined {
    return this.told.get(host);
  }

  /** The newest report that a stranger has seen here, for telling late copies. */
  private readonly seen = new Map<string, { tenure: number; tick: number }>();

  /** Is the report no newer than what this node, or by its word the owner, has heard? Remembers it if it is. */
  isLate(report: Report): boolean {
    const older = (known: { tenure: number; tick: number } | undefined) =>
      known !== undefined && !isNewerThan(report, known);
    if (older(this.told.get(report.host)) || older(this.seen.get(report.host))) return true;
    this.seen.delete(report.host);
    this.seen.set(report.host, { tenure: report.tenure, tick: report.tick });
    if (this.seen.size > MISDIRECTED_WORKERS_KEPT) this.seen.delete(this.seen.keys().next().value!);
    return false;
  }

  /** Forgets machines that nobody speaks of any more. */
  prune(): void {
    const now = this.clock.now();
    for (const [host, at] of this.knownAt) {
      if (now - at < FORGET_MACHINE_MS) continue;
      this.told.delete(host);
      this.knownAt.delete(host);
    }
  }

  /** Machines that the cloud has confirmed gone; names never come back. */
  readonly gone = new Map<string, number>();

  remove(host: string): void {
    if (this.gone.has(host)) return;
    this.gone.set(host, this.clock.now());
    if (this.gone.size > RETURNED_MACHINES_KEPT) this.gone.delete(this.gone.keys().next().value!);
    this.told.delete(host);
    this.knownAt.delete(host);
    this.owner.workers.remove(host);
  }

  /** What other nodes should forget as well. */
  lately(): string[] {
    const now = this.clock.now();
    return [...this.gone].filter(([, at]) => now - at < FORGET_MACHINE_MS).map(([host]) => host);
  }

  isSilent(machine: MachineInfo): boolean {
    const allowed = SILENT_REPORTS * this.settings.cluster.workers.report_s * 1000;
    const now = this.clock.now();
    if (this.heldFor(machine.host) !== undefined) return now - machine.heardAt > allowed;
    const knownAt = this.knownAt.get(machine.host) ?? -Infinity;
    const owner = this.claims.ownerOf(partitionRole(this.claims.partitionOf(machine.host)));
    // No word of an owner that still holds its claim: nodes don't hear each other, which says nothing of its machines.
    if (now - knownAt > GOSSIP_STALE_MS && owner === machine.owner) return knownAt - machine.heardAt > allowed;
    return now - machine.heardAt > allowed + GOSSIP_STALE_MS / 2;
  }

  /** May new work go there? */
  isOpen(machine: MachineInfo): boolean {
    return this.whyClosed(machine) === undefined;
  }

  /** Why no new work may go there. */
  whyClosed(machine: MachineInfo): string | undefined {
    if (!this.catalog.has(machine.flavor)) return 'unknown type';
    if (machine.warnedUntil !== null) return 'warned';
    if (machine.sick) return 'sick';
    if (machine.slow) return 'slow';
    if (machine.unreached) return 'unreached';
    if (machine.cooling) return 'cooling';
    if (this.leaving.has(machine.host)) return 'leaving';
    return this.isSilent(machine) ? 'silent' : undefined;
  }
}
