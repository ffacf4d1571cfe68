/* global process, console, Buffer, setTimeout, clearTimeout, setInterval, clearInterval */
/** A small deployment for the cases: real controllers, with the project's stand-ins of store, cloud and workers on loopback. */
import { writeFileSync } from 'node:fs';
import { Agent, request as httpRequest } from 'node:http';

import { systemClock } from '../../target/test/src/net/clock.js';
import { Random } from '../../target/test/src/net/random.js';
import { ControllerProcesses } from '../../target/test/testing/controller-processes.js';
import { FakeCloud } from '../../target/test/testing/fake-cloud.js';
import { FakeGangs } from '../../target/test/testing/fake-gangs.js';
import { FakeStore } from '../../target/test/testing/fake-store.js';
import { LinkProxy } from '../../target/test/testing/link-proxy.js';
import { unreferencedClock } from '../../target/test/testing/loopback-clock.js';
import { freeAddress, LoopbackServer } from '../../target/test/testing/loopback-server.js';
import { LoopbackWorkers } from '../../target/test/testing/loopback-workers.js';
import { decodeSubmission } from '../../target/test/testing/submission-wire-codec.js';

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => Math.round(systemClock.now());
export const hasTrouble = process.env.TROUBLE !== '0';

const GANG_WAIT_MS = 50_000;
const GANG_PEER_MS = 6000;
const LEASE_EXPIRY_PERIOD_MS = 20;
const START_LIMIT_MS = 20_000;
const RUN_LIMIT_MS = 118_000;

/** The deployments of this process, which end with it. */
const deployments = new Set();
/** The controllers that ended without having been told to: then the case says nothing about its rule. */
const unexpectedExits = [];

/** Keeps what was sent, answered and run, and writes it to the case's record. */
export class Record {
  lines = [];

  add(...words) {
    this.lines.push(`${now()} ${words.join(' ')}`);
  }

  write(file) {
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}

const agents = new Map();

function agentOf(address) {
  const agent = agents.get(address) ?? new Agent({ keepAlive: true, maxSockets: 64 });
  agents.set(address, agent);
  return agent;
}

/** Sends one request of a user; status 0: no answer within the time limit. */
export function send(address, method, path, body, timeoutMs) {
  const [host, port] = address.split(':');
  const payload = body === undefined ? undefined : JSON.stringify(body);
  const headers =
    payload === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(payload) };
  const sentAt = now();
  return new Promise((resolve) => {
    const finish = (status, answer) => {
      clearTimeout(timer);
      resolve({ status, body: answer, sentAt, at: now() });
    };
    const clientRequest = httpRequest({ agent: agentOf(address), host, port, method, path, headers }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => finish(0));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        try {
          finish(response.statusCode, text === '' ? undefined : JSON.parse(text));
        } catch {
          finish(0);
        }
      });
    });
    const timer = setTimeout(() => clientRequest.destroy(), timeoutMs);
    clientRequest.on('error', () => finish(0));
    clientRequest.end(payload);
  });
}

/**
 * Controllers with their surroundings. `storeHandler` may alter how the store serves one controller; `onCloudCall` is told
 * each call to the cloud before it is carried out.
 */
export class Deployment {
  store = new FakeStore(unreferencedClock);
  addresses = [];
  peerLinks = new Map();
  servers = [];
  descriptions = new Map();

  /** `spotMachines`: so many of the first machines are spot machines. */
  constructor({ machineType, machines, spotMachines = 0, zones, teams, cluster, runMs, seed = 1, record, ...options }) {
    Object.assign(this, { machineType, spotMachines, teams, cluster, record, ...options });
    deployments.add(this);
    this.random = new Random(seed);
    this.cloud = new FakeCloud([machineType, ...(options.furtherMachineTypes ?? [])]);
    const limits = cluster.state;
    this.store.limits = {
      valueBytes: limits.value_kb * 1024,
      transactionWrites: limits.txn_ops,
      writesPerSecond: limits.write_rps,
    };
    this.workers = new LoopbackWorkers({
      count: machines,
      zones,
      machineType,
      heartbeatMs: cluster.workers.report_s * 1000,
      runMs,
      environment: {
        leaseS: cluster.workers.lease_s,
        describe: (jobId) => this.descriptions.get(jobId),
        gangs: new FakeGangs(unreferencedClock, GANG_WAIT_MS, GANG_PEER_MS),
        results: new Set(),
      },
      clock: unreferencedClock,
      random: this.random,
    });
  }

  async start(nodes = 3) {
    await this.workers.start();
    this.cloud.onReturn = (machineId) => this.workers.remove(machineId);
    for (const [index, { worker, machineId }] of this.workers.workers.entries()) {
      const isSpot = index < this.spotMachines;
      worker.options.isSpot = isSpot;
      this.cloud.machines.set(machineId, {
        machineType: this.machineType.name,
        zone: worker.options.zone,
        isSpot,
        state: 'running',
        ageS: 100,
      });
      worker.onStart = (taskId) => this.record.add('task started', taskId, machineId);
      worker.onEnd = (taskId, reason) => this.record.add('task ended', taskId, machineId, reason);
    }
    const mesh = [];
    for (let n = 0; n < nodes; n++) {
      this.addresses.push(await freeAddress());
      mesh.push(await freeAddress());
    }
    const controllers = [];
    for (let n = 0; n < nodes; n++) {
      const storeServer = new LoopbackServer((method, path, body) => this.handleStore(n, method, path, body));
      this.servers.push(storeServer);
      const peers = [];
      for (let to = 0; to < nodes; to++) {
        const link = new LinkProxy(mesh[to]);
        if (to !== n) this.peerLinks.set(`${n}>${to}`, link);
        peers.push(to === n ? mesh[to] : await link.listen());
      }
      const store = await storeServer.listen();
      const cloudServer = new LoopbackServer((method, path, body) => this.handleCloud(n, method, path, body));
      this.servers.push(cloudServer);
      const cloud = await cloudServer.listen();
      controllers.push({ bind: this.addresses[n], mesh: mesh[n], store, cloud, peers });
    }
    const { teams, cluster, logLevel } = this;
    this.processes = new ControllerProcesses({ tuning: 'deploy/tuning.toml', teams, cluster, logLevel }, controllers);
    this.processes.startAll();
    this.workers.beginHeartbeats(new Map(this.addresses.map((address, n) => [`n${n}`, address])));
    this.expiry = setInterval(() => this.store.expireLeases(), LEASE_EXPIRY_PERIOD_MS);
    await this.untilHealthy();
  }

  handleStore(node, method, path, body) {
    const execute = () => this.store.handle(method, path, body);
    return this.storeHandler === undefined ? execute() : this.storeHandler({ node, method, path, body, execute });
  }

  handleCloud(node, method, path, body) {
    this.onCloudCall?.(node, method, path, body);
    return this.cloud.handle(method, path, body);
  }

  /** Waits until all controllers are healthy and each role is led. */
  async untilHealthy() {
    const endsAt = now() + START_LIMIT_MS;
    for (;;) {
      const probes = await Promise.all(this.addresses.map((address) => send(address, 'GET', '/up', undefined, 1000)));
      const roles = [...this.store.rows.keys()].filter((key) => key.startsWith('live/claim/'));
      if (probes.every(({ status }) => status === 200) && roles.length === this.addresses.length + 1) return;
      if (now() > endsAt) throw new Error('the controllers are not healthy');
      await sleep(200);
    }
  }

  /** Uploads a job's description for the workers, as its user does. */
  describe(body) {
    this.descriptions.set(body.Ref, decodeSubmission(body));
  }

  stop() {
    if (!deployments.delete(this)) return;
    clearInterval(this.expiry);
    unexpectedExits.push(...(this.processes?.unexpectedExits ?? []));
    this.processes?.stop();
    this.workers.stop();
    for (const server of this.servers) server.close();
    for (const link of this.peerLinks.values()) link.close();
    for (const agent of agents.values()) agent.destroy();
  }
}

/** Runs a case; exits with 1 if the rule was broken, with 0 if it held, with 2 if the case couldn't run. */
export async function runCase(file, play) {
  const record = new Record();
  const finish = (code, message) => {
    for (const deployment of deployments) deployment.stop();
    console.log(message);
    record.write(file);
    process.exit(code);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => finish(2, `ended by ${signal}`));
  setTimeout(() => finish(2, 'the case could not run: not in time'), RUN_LIMIT_MS);
  try {
    const broken = await play(record);
    const [exit] = unexpectedExits;
    if (exit !== undefined) throw new Error(`node ${exit.node} ended by itself: ${exit.reason}`);
    for (const line of broken) record.add('BROKEN', line);
    if (broken.length === 0) finish(0, 'the rule held');
    else finish(1, `the rule was broken:\n${broken.join('\n')}`);
  } catch (error) {
    record.add('could not run:', error.stack);
    finish(2, `the case could not run: ${error.stack}`);
  }
}
