/* global process, console, setTimeout, performance, URL */
// One small deployment on the loopback interface: controllers started by the deploy file's run command, and the stand-ins.
import { spawn } from 'node:child_process';
import { appendFileSync, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { Client, freeAddress, listen } from './http.mjs';
import { Link } from './proxy.mjs';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** Share of `BootS` after which the fastest machines are up. */
const SHORTEST_BOOT = 0.6;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The run command of the deploy file, as a program with its arguments. */
function runCommand() {
  const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8'));
  return run.split(' ');
}

export class Deployment {
  /**
   * `cluster`: the field of that name in the settings; `folder`: of the record; `locations`: the zones of the controllers, by
   * default the first zone for all.
   */
  constructor({ nodes, cluster, flavors, folder, locations = [] }) {
    Object.assign(this, { cluster, flavors, locations });
    this.recordFile = join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.startedAt = performance.now();
    this.names = Array.from({ length: nodes }, (_, index) => `latchnode-${index}`);
    this.folder = mkdtempSync(join(tmpdir(), 'dewlatch-review-'));
    this.store = new Store(cluster.state);
    this.jobs = new Map();
    this.workers = [];
    this.processes = new Map();
    this.exits = [];
    this.logs = new Map();
    this.isStopping = false;
    this.cutOff = new Set();
    this.store.isCutOff = (name) => this.isCutOff(name);
    /** Machines that the cloud can still rent out. */
    this.capacity = 0;
    this.rentals = new Map();
    this.returned = new Set();
    this.hostCount = 0;
  }

  record(text) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.recordFile, `${seconds}  ${text}\n`);
  }

  /** Called with each event of a worker. */
  onEvent = () => undefined;

  async start() {
    const taken = new Set();
    const binds = [];
    const meshes = [];
    for (const name of this.names) {
      binds.push(await freeAddress(taken));
      meshes.push(await freeAddress(taken));
      this.logs.set(name, []);
    }
    this.addresses = new Map(this.names.map((name, index) => [name, binds[index]]));
    this.meshes = new Map(this.names.map((name, index) => [name, meshes[index]]));
    this.clouds = new Map();
    this.links = new Map();
    for (const name of this.names) {
      const cloud = await listen((...call) => (this.isCutOff(name) ? undefined : this.answerAsCloud(...call)));
      this.clouds.set(name, cloud);
      for (const peer of this.names) {
        const link = new Link(this.meshes.get(peer));
        if (peer !== name) this.links.set(`${name} to ${peer}`, { link, address: await link.listen() });
      }
      const file = join(this.folder, `${name}.json`);
      writeFileSync(file, JSON.stringify(this.settingsOf(name, await this.store.open(name))));
    }
    for (const name of this.names) this.startController(name);
  }

  settingsOf(name, state) {
    const locationOf = (node) => this.locations[this.names.indexOf(node)] ?? this.cluster.zones[0];
    const peers = this.names.filter((each) => each !== name);
    return {
      node: name,
      location: locationOf(name),
      bind: this.addresses.get(name),
      mesh_addr: this.meshes.get(name),
      peers: peers.map((node) => ({
        node,
        location: locationOf(node),
        address: this.links.get(`${name} to ${node}`).address,
      })),
      outside: { cloud: this.clouds.get(name).address, state },
      cluster: { size: this.names.length, ...this.cluster },
    };
  }

  startController(name) {
    if (this.isStopping) return;
    const [command, ...flags] = runCommand();
    const child = spawn(command, [...flags, join(this.folder, `${name}.json`)], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'error' },
    });
    this.processes.set(name, child);
    this.record(`${name}: process started`);
    const lines = this.logs.get(name);
    child.stderr.on('data', (chunk) => {
      const text = chunk.toString('utf8');
      lines.push(text);
      if (lines.length > 400) lines.splice(0, 200);
    });
    child.once('exit', (code, signal) => this.exited(name, child, `${signal ?? code}`));
  }

  exited(name, child, reason) {
    if (this.processes.get(name) !== child) return;
    this.processes.delete(name);
    if (this.isStopping) return;
    this.record(`${name}: process ended by itself: ${reason}`);
    const said = this.logs
      .get(name)
      .join('')
      .split('\n')
      .filter((line) => /error|FATAL|failed/i.test(line))
      .slice(-4);
    for (const line of said) this.record(`${name}: its last words: ${line.slice(0, 400)}`);
    this.exits.push({ name, reason });
    // The platform starts a process that has ended again.
    setTimeout(() => this.startController(name), this.restartMs ?? 5000);
  }

  isCutOff(name) {
    return this.cutOff.has(name);
  }

  /** Cuts a controller off from the state service, the cloud, the other controllers and the users; packets are held. */
  cutOffNode(name) {
    this.record(`${name}: cut off from state service, cloud, controllers and users`);
    this.cutOff.add(name);
    for (const [ends, { link }] of this.links) if (ends.split(' to ').includes(name)) link.cut();
  }

  /** Sends a signal to a process that this deployment has started. */
  signal(name, signal) {
    this.record(`${name}: ${signal}`);
    this.processes.get(name)?.kill(signal);
  }

  answerAsCloud(method, path, body) {
    if (path === '/machine_types') return { status: 200, body: { Flavors: this.flavors } };
    if (path === '/rentals/return') {
      for (const host of body.Hosts) this.workers.find((worker) => worker.host === host)?.stop();
      this.workers = this.workers.filter((worker) => !body.Hosts.includes(worker.host));
      for (const host of body.Hosts) this.returned.add(host);
      this.onEvent('machines returned', { hosts: body.Hosts });
      this.record(`cloud: machines returned: ${body.Hosts.join(' ')}`);
      return { status: 200, body: {} };
    }
    if (method === 'POST') return this.rent(body);
    const heldS = 600 + (performance.now() - this.startedAt) / 1000;
    const from = new URL(path, 'http://cloud').searchParams.get('From') ?? '';
    const hosts = this.workers.filter(({ host }) => host > from).sort((a, b) => (a.host < b.host ? -1 : 1));
    return {
      status: 200,
      body: {
        Hosts: hosts.map(({ host, flavor, site, reclaimable, server }) => ({
          Ref: host,
          Endpoint: server.address,
          Flavor: flavor,
          Site: site,
          Reclaimable: reclaimable,
          Phase: 'running',
          HeldS: heldS,
        })),
        HasNext: false,
      },
    };
  }

  /** Grants what is left of `capacity`; the machines are up after the shortest usual boot time. */
  async rent({ Hire, Flavor, Site, Reclaimable, HowMany }) {
    const known = this.rentals.get(Hire);
    if (known !== undefined) return { status: 200, body: { Hosts: known } };
    const count = Math.min(HowMany, this.capacity);
    if (count === 0) return { status: 503, body: { error: 'no capacity' } };
    this.capacity -= count;
    const hosts = Array.from({ length: count }, () => this.nextHost());
    this.rentals.set(Hire, hosts);
    this.record(`cloud: rented ${hosts.join(' ')} (${Flavor}, ${Site})`);
    const machine = { flavor: Flavor, site: Site, reclaimable: Reclaimable };
    setTimeout(() => void this.boot(hosts, machine), this.flavorOf(Flavor).BootS * SHORTEST_BOOT * 1000);
    return { status: 200, body: { Hosts: hosts } };
  }

  async boot(hosts, machine) {
    if (this.isStopping) return;
    for (const host of hosts) if (!this.returned.has(host)) await this.addMachine(host, machine);
  }

  nextHost() {
    return `i-${String(++this.hostCount).padStart(6, '0')}`;
  }

  async addMachine(host, machine) {
    const worker = new Worker({ host, ...machine }, this.environment);
    this.workers.push(worker);
    await worker.start();
  }

  /** Starts machines; each of `machines` is { flavor, site, firstTick }. `tickStep`: by how much a worker's `Tick` grows. */
  async startMachines(machines, { runS, tickStep }) {
    this.environment = {
      tickStep,
      workers: this.cluster.workers,
      nodes: this.addresses,
      jobs: this.jobs,
      results: new Set(),
      runS,
      fetchGbPerS: (flavor) => this.flavorOf(flavor).FetchGbPerS,
      resourcesOf: (flavor) => {
        const { Cpus, Cards, MemGb } = this.flavorOf(flavor);
        return { Cpus, Cards, MemGb };
      },
      event: (kind, fields) => this.onEvent(kind, fields),
    };
    for (const machine of machines) await this.addMachine(this.nextHost(), machine);
  }

  flavorOf(name) {
    return this.flavors.find(({ Sku }) => Sku === name);
  }

  /** Whether some node answers its health check with 200, by name. */
  async healthyNodes() {
    const healthy = [];
    await Promise.all(
      this.names.map(async (name) => {
        const client = new Client();
        const { status } = await client.request(this.addresses.get(name), 'GET', '/up', undefined, 1000);
        client.close();
        if (status === 200) healthy.push(name);
      }),
    );
    return healthy;
  }

  async until(condition, limitMs) {
    const endsAt = performance.now() + limitMs;
    while (performance.now() < endsAt) {
      if (await condition()) return true;
      await sleep(100);
    }
    return false;
  }

  /** Ready: all nodes are healthy, and a question about an unknown job is answered. */
  async ready(limitMs = 20_000) {
    return this.until(async () => (await this.healthyNodes()).length === this.names.length, limitMs);
  }

  /** Ends everything that was started. */
  async stop() {
    this.isStopping = true;
    const children = [...this.processes.values()];
    const ended = children.map((child) => new Promise((resolve) => child.once('exit', resolve)));
    for (const child of children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    for (const worker of this.workers) worker.stop();
    this.store.close();
    for (const cloud of this.clouds?.values() ?? []) cloud.close();
    for (const { link } of this.links?.values() ?? []) link.close();
    await Promise.race([Promise.all(ended), sleep(3000)]);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A user: each request goes to a node that is picked as a load balancer picks it, among the healthy ones. */
export class User {
  constructor(deployment) {
    this.deployment = deployment;
    this.turn = Math.floor(Math.random() * deployment.names.length);
  }

  async request(method, path, body, timeoutMs) {
    const { names, addresses } = this.deployment;
    for (let tries = 0; tries < 3; tries++) {
      const name = names[this.turn++ % names.length];
      if (this.deployment.isCutOff(name)) continue;
      const client = new Client();
      const reply = await client.request(addresses.get(name), method, path, body, timeoutMs);
      client.close();
      if (reply.status !== 0 || this.deployment.processes.has(name)) return { ...reply, node: name };
    }
    return { status: 0, body: undefined, node: 'none' };
  }

  /** Submits a job, with retries for 60 s as the protocol states them. */
  async submit(job) {
    this.deployment.jobs.set(job.Ref, job);
    const endsAt = performance.now() + 60_000;
    for (;;) {
      const { status, body, node } = await this.request('POST', '/v1/jobs', job, 5000);
      if ([200, 201, 400, 422].includes(status) || performance.now() > endsAt) {
        this.deployment.record(`submit ${job.Ref} (${job.Shards} tasks) at ${node}: ${status} ${JSON.stringify(body)}`);
        return status;
      }
      await sleep(1000);
    }
  }

  async withdraw(jobId) {
    const endsAt = performance.now() + 60_000;
    for (;;) {
      const { status, body, node } = await this.request('POST', `/v1/jobs/${jobId}/withdraw`, undefined, 5000);
      if ([200, 404].includes(status) || performance.now() > endsAt) {
        this.deployment.record(`withdraw ${jobId} at ${node}: ${status} ${JSON.stringify(body)}`);
        return { status, body };
      }
      await sleep(1000);
    }
  }

  async poll(jobId) {
    return this.request('GET', `/v1/jobs/${jobId}`, undefined, 2000);
  }
}

/** Runs a case: `play` returns HELD or BROKEN with the deployment's record; anything else counts as not run. */
export async function runCase(play) {
  if (!existsSync(join(ROOT, 'target/dewlatch.blob'))) {
    console.error('the program is not built');
    process.exit(COULD_NOT_RUN);
  }
  const trouble = process.env.TROUBLE !== '0';
  let code;
  try {
    code = await play(trouble);
  } catch (error) {
    console.error(error);
    code = COULD_NOT_RUN;
  }
  console.log(['the rule held', 'the rule was broken', 'the case could not run'][code]);
  process.exit(code);
}

/** The submission of a job; `fields` replace those of the default one. */
export const jobOf = (fields) => ({
  Ref: 'j-000001',
  Jobclass: 'reindex-dosare',
  Owner: 'echipa-platforma-00',
  Shape: 'array',
  Rank: 'normal',
  Shards: 1,
  Cpus: 2.0,
  Cards: 0.0,
  MemGb: 12.0,
  Bundle: 'img-00',
  SizeGb: 0.5,
  Flavors: null,
  Site: null,
  OneZone: false,
  Spread: false,
  Reclaimable: true,
  GuessS: 8.0,
  SnapshotEveryS: 0.0,
  SnapshotS: 0.0,
  DueS: null,
  ...fields,
});

export const jobIdOf = (number) => `j-${String(number).padStart(6, '0')}`;
