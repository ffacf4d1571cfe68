/** Real controller processes on the loopback interface, started by the deploy file's command. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { parse } from 'smol-toml';

import { systemClock } from '../src/net/clock.js';
import { settingsFileOf } from './fixtures.js';

/** How one process ended without having been told to. */
export interface UnexpectedExit {
  at: number;
  node: number;
  /** The exit code or the signal. */
  reason: string;
}

/** One line that a process has written. */
export interface LogLine {
  at: number;
  node: number;
  text: string;
}

/** Addresses that one controller is given. */
export interface ControllerAddresses {
  bind: string;
  mesh: string;
  store: string;
  cloud: string;
  /** The address of each peer as this controller sees it, by index; its own entry is ignored. */
  peers: readonly string[];
}

/** Configuration of the processes. */
export interface ControllerProcessesOptions {
  /** Path of the tuning file. */
  tuning: string;
  teams: object[];
  /** Fields of `cluster` in the settings file that differ from those of the fixtures. */
  cluster?: object | undefined;
  logLevel?: string | undefined;
}

interface ControllerProcess {
  settingsFile: string;
  process: ChildProcess | undefined;
  isExpectedToEnd: boolean;
}

/** Starts, signals and ends the processes, and keeps what they write. */
export class ControllerProcesses {
  readonly logLines: LogLine[] = [];
  readonly unexpectedExits: UnexpectedExit[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'dewlatch-loopback-'));
  private readonly controllers: ControllerProcess[];
  private isStopped = false;

  constructor(
    private readonly options: ControllerProcessesOptions,
    addresses: readonly ControllerAddresses[],
  ) {
    this.controllers = addresses.map((own, index) => {
      const settingsFile = join(this.folder, `n${index}.json`);
      writeFileSync(settingsFile, JSON.stringify(this.settingsOf(own, index, addresses.length)));
      return { settingsFile, process: undefined, isExpectedToEnd: false };
    });
  }

  private settingsOf(own: ControllerAddresses, index: number, nodes: number): object {
    const { teams, cluster } = this.options;
    const settings = settingsFileOf(index, nodes, { teams, ...(cluster === undefined ? {} : { cluster }) });
    const peers = own.peers.map((address, peer) => ({ node: `n${peer}`, location: 'a', address }));
    return {
      ...settings,
      bind: own.bind,
      mesh_addr: own.mesh,
      peers: peers.filter((_, peer) => peer !== index),
      outside: { cloud: own.cloud, state: own.store },
    };
  }

  startAll(): void {
    for (const index of this.controllers.keys()) this.start(index);
  }

  /** Starts the controller with the deploy file's command; a process that is ending ends first. */
  start(index: number): void {
    const controller = this.controllers[index]!;
    if (controller.isExpectedToEnd) controller.process?.once('exit', () => this.start(index));
    if (controller.process !== undefined || this.isStopped) return;
    const deployment = parse(readFileSync('deploy/service.toml', 'utf8')) as { run: string };
    const [command, ...flags] = deployment.run.replace('deploy/tuning.toml', this.options.tuning).split(' ');
    const { logLevel } = this.options;
    const child = spawn(command!, [...flags, controller.settingsFile], {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, ...(logLevel === undefined ? {} : { LOG_LEVEL: logLevel }) },
    });
    controller.process = child;
    controller.isExpectedToEnd = false;
    child.stderr.on('data', (chunk: Buffer) => this.recordOutput(index, chunk.toString('utf8')));
    child.once('exit', (code, signal) => this.recordExit(index, child, `${signal ?? code}`));
  }

  private recordOutput(node: number, output: string): void {
    const at = systemClock.now();
    for (const text of output.trim().split('\n')) this.logLines.push({ at, node, text });
  }

  private recordExit(node: number, child: ChildProcess, reason: string): void {
    const controller = this.controllers[node]!;
    if (controller.process !== child) return;
    controller.process = undefined;
    if (!controller.isExpectedToEnd) this.unexpectedExits.push({ at: systemClock.now(), node, reason });
  }

  /** Sends a signal to the controller's process. */
  signal(index: number, signal: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM'): void {
    const controller = this.controllers[index];
    if (controller?.process === undefined) return;
    if (signal === 'SIGKILL' || signal === 'SIGTERM') controller.isExpectedToEnd = true;
    controller.process.kill(signal);
  }

  /** Ends all processes. */
  stop(): void {
    this.isStopped = true;
    for (const index of this.controllers.keys()) {
      this.signal(index, 'SIGCONT');
      this.signal(index, 'SIGKILL');
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}
