/** The controllers of a cluster: starts, stops and freezes them, and carries the messages between them. */
import { setMaxListeners } from 'node:events';

import { DEFAULT_STANDBY_SETTINGS } from '@dewlatch/standby';

import { DEFAULT_TUNING } from '../src/constants/scheduling.js';
import { NoResponseError } from '../src/net/http-client.js';
import type { FakeClock } from './fake-clock.js';
import type { FakeNetwork } from './fake-network.js';
import { type ClusterOptions, settingsFileOf } from './fixtures.js';
import { Freezer, type FreezeTrigger } from './freezer.js';
import { CURRENT_VERSION, type OpaqueMessage, type ProgramVersion, type TestedController } from './program-version.js';

/** A running controller. */
export interface ClusterNode {
  version: ProgramVersion;
  controller: TestedController;
  /** Aborted when the node ends. */
  stop: AbortController;
  freezer: Freezer;
}

/** The seed of the first node; each further node's is larger by one. */
const FIRST_SEED = 7;

/** Starts and ends controllers by index, and carries their messages. */
export class ClusterNodes {
  private readonly nodes = new Map<string, ClusterNode>();
  /** The version that a node runs from its next start on, if not the current one. */
  private readonly versions = new Map<number, ProgramVersion>();
  /** Number of nodes in the cluster, up or not. */
  readonly count: number;

  constructor(
    private readonly clock: FakeClock,
    private readonly network: FakeNetwork,
    private readonly options: ClusterOptions,
  ) {
    this.count = options.nodes ?? 1;
  }

  /** The names of all nodes, up or not. */
  get names(): string[] {
    return Array.from({ length: this.count }, (_, index) => `n${index}`);
  }

  /** Starts all nodes in the version that the options specify. */
  startAll(): void {
    for (let index = 0; index < this.count; index++) {
      if (this.options.version !== undefined) this.versions.set(index, this.options.version);
      this.start(index);
    }
  }

  start(index: number): void {
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    const settings = settingsFileOf(index, this.count, this.options);
    const standby = { ...DEFAULT_STANDBY_SETTINGS, ...this.options.standby, ...this.options.standbyOf?.(index) };
    const tuning = { ...DEFAULT_TUNING, ...this.options.tuning, standby };
    const freezer = new Freezer(this.clock);
    const client = freezer.wrapClient(this.network.client(settings.node), stop.signal);
    const version = this.versions.get(index) ?? CURRENT_VERSION;
    const controller = version.createController(settings, tuning, client, freezer.processClock, FIRST_SEED + index);
    const node = { version, controller, stop, freezer };
    this.nodes.set(settings.node, node);
    this.network.serve(`${settings.node}:8080`, async (_method, path, body) => {
      const answer = await freezer.serve(path, () => controller.answerHeartbeat(body));
      if (stop.signal.aborted) throw new NoResponseError('reset', true);
      return answer;
    });
    controller.connect((to, message) => !stop.signal.aborted && this.deliver(settings.node, to, message));
    void controller.runBackgroundLoops(stop.signal);
  }

  /** From its next start on, the node runs the current version. */
  upgrade(index: number): void {
    this.versions.delete(index);
  }

  crash(index: number): void {
    this.nodes.get(`n${index}`)?.stop.abort();
    this.nodes.delete(`n${index}`);
    this.network.stopServing(`n${index}:8080`);
  }

  async terminate(index: number): Promise<void> {
    const node = this.nodes.get(`n${index}`);
    await node?.controller.handOver();
    if (this.nodes.get(`n${index}`) === node) this.crash(index);
  }

  async restart(index: number, sendingMs: number, lateMs: [number, number]): Promise<void> {
    const endFault = this.network.addFault({ from: `n${index}`, path: /^\/(txn|commands)/, kind: 'late', lateMs });
    await this.clock.sleep(sendingMs);
    endFault();
    this.crash(index);
    this.start(index);
  }

  freeze(index: number, forMs: number): void {
    this.nodes.get(`n${index}`)?.freezer.freeze(forMs);
  }

  freezeAt(index: number, trigger: FreezeTrigger): () => void {
    const triggers = this.nodes.get(`n${index}`)?.freezer.triggers;
    triggers?.add(trigger);
    return () => triggers?.delete(trigger);
  }

  leader(): number | undefined {
    for (const [name, { controller }] of this.nodes) {
      if (controller.isLeader()) return Number(name.slice(1));
    }
    return undefined;
  }

  /** The node, if it is up. */
  get(index: number): ClusterNode | undefined {
    return this.nodes.get(`n${index}`);
  }

  /** Some node that is up. */
  any(): ClusterNode {
    return [...this.nodes.values()][0]!;
  }

  /** Each node that is not frozen sends its gossip to all others that are up. */
  exchangeGossip(): void {
    for (const [from, { controller, freezer }] of this.nodes) {
      if (freezer.isFrozen) continue;
      for (const to of this.nodes.keys()) if (from !== to) this.deliver(from, to, controller.composeGossip(to));
    }
  }

  private deliver(from: string, to: string, message: OpaqueMessage): boolean {
    const receiver = this.nodes.get(to)?.version ?? CURRENT_VERSION;
    const bytes = (this.nodes.get(from)?.version ?? CURRENT_VERSION).encodeMessage(message, receiver);
    this.network.sendOneWay(from, to, () => {
      const node = this.nodes.get(to);
      void node?.freezer.untilThawed().then(() => node.controller.receive(node.version.decodeMessage(bytes)));
    });
    return true;
  }

  stop(): void {
    for (const { stop } of this.nodes.values()) stop.abort();
  }
}
