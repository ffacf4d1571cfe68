/**
 * Measures from outside how a role passes from one controller to another: what the store, the workers and the network of a
 * stand-in cluster show, so that any version of the program can be measured.
 */
import { Cluster } from './cluster.js';
import { decodeTransaction } from './fake-store-wire-codec.js';
import type { ClusterOptions } from './fixtures.js';
import { encodeSubmission, type Submission } from './submission-wire-codec.js';

/** How a controller loses a role. */
export type Loss = 'kill' | 'freeze' | 'store partition' | 'terminate';
/** The role that is lost: that of the cluster, or of a partition. */
export type MeasuredRole = 'leader' | 'partition';

/** One loss to be measured. */
export interface Trial {
  role: MeasuredRole;
  loss: Loss;
  /** Jobs are submitted all the time. */
  load: boolean;
  /** ms into the heartbeat at which the loss comes. */
  offsetMs: number;
}

/** ms from the loss to each step of the takeover; undefined: it did not come about within `LIMIT_MS`. */
export interface TakeoverTimes {
  /** The former claim is gone from the store. */
  detected?: number;
  /** Another controller holds the claim. */
  claimed?: number;
  /** Its copy of the records is complete up to the claim. */
  copied?: number;
  /** A worker has shown the new token. */
  answered?: number;
  /** A transaction under the new claim has been made that changes something else. */
  decided?: number;
}

const LIMIT_MS = 20_000;
const STEP_MS = 5;
const MACHINES = 9;
const WARM_UP_MS = 12_000;
const JOB_EVERY_MS = 400;

/** Plays one loss of a role and tells how soon it was taken over, and which rules were broken. */
export async function measureTakeover(trial: Trial, options: ClusterOptions = {}) {
  const cluster = await startCluster(options);
  const users = new Submitter(cluster, trial.load);
  const load = new AbortController();
  const submitting = users.run(load.signal);
  await cluster.advance(3000 + trial.offsetMs);
  const lost = cluster.leader()!;
  const role = trial.role === 'leader' ? 'leader' : `part-${lost}`;
  const key = `live/claim/${role}`;
  const before = cluster.store.rows.get(key)!.modRevision;
  const begun = cluster.clock.now();
  const logFrom = cluster.network.log.length;
  lose(cluster, lost, trial.loss);
  const times: TakeoverTimes = {};
  const observed = { cluster, role, key, before, begun, lost, logFrom, times };
  while (cluster.clock.now() - begun < LIMIT_MS && (times.decided === undefined || times.answered === undefined)) {
    await cluster.advance(STEP_MS);
    // An idle cluster decides something when a job comes.
    if (!trial.load && times.claimed !== undefined && users.submitted === 0) users.submitOne();
    observeSteps(observed);
  }
  load.abort();
  await submitting;
  await cluster.advance(15_000);
  return { times, broken: cluster.verdict() };
}

async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const cluster = new Cluster({ nodes: 3, teams: [{ name: 'red' }], ...options });
  for (let n = 0; n < MACHINES; n++) {
    cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}`, zone: ['a', 'b', 'c'][n % 3]!, runMs: 3000 });
  }
  await cluster.advance(WARM_UP_MS);
  return cluster;
}

/** Submits jobs one after the other; without load only when asked. */
class Submitter {
  submitted = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly hasLoad: boolean,
  ) {}

  submitOne(): void {
    const isGang = !this.hasLoad || this.submitted % 4 === 0;
    const submission = submissionOf(this.submitted++);
    void this.cluster.users.submit(encodeSubmission(isGang ? { ...submission, kind: 'gang' } : submission));
  }

  async run(signal: AbortSignal): Promise<void> {
    if (!this.hasLoad) return;
    while (!signal.aborted) {
      this.submitOne();
      await this.cluster.clock.sleep(JOB_EVERY_MS, signal);
    }
  }
}

interface ObservedTakeover {
  cluster: Cluster;
  role: string;
  /** Of the role's record. */
  key: string;
  /** Revision of the role's record before the loss. */
  before: number;
  /** When the node was lost. */
  begun: number;
  lost: number;
  /** Length of the network's log at the loss. */
  logFrom: number;
  times: TakeoverTimes;
}

/** Notes the steps that are seen done and were not before. */
function observeSteps({ cluster, role, key, before, begun, lost, logFrom, times }: ObservedTakeover): void {
  const note = (step: keyof TakeoverTimes, isDone: boolean): void => {
    if (isDone) times[step] ??= cluster.clock.now() - begun;
  };
  const claim = cluster.store.rows.get(key);
  note('detected', claim?.modRevision !== before);
  if (claim === undefined) return;
  const owner = Number((claim.value as { node: string }).node.slice(1));
  if (owner === lost || !cluster.has(owner)) return;
  note('claimed', true);
  note('copied', cluster.node(owner).replica.revision >= claim.modRevision);
  note('answered', hasAnswered(cluster, role, claim.modRevision));
  note('decided', hasDecided(cluster, key, claim.modRevision, logFrom));
}

const submissionOf = (n: number): Submission => ({
  id: `j-${String(n).padStart(6, '0')}`,
  jobClass: 'train',
  team: 'red',
  priority: 'normal',
  kind: 'array',
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'img',
  imageGb: 1,
  machineTypes: null,
  zone: null,
  singleZone: false,
  spreadAcrossZones: false,
  allowsSpot: true,
  estimatedRunS: 3,
  checkpointIntervalS: 0,
  checkpointS: 0,
  deadlineS: null,
  taskCount: 2,
});

function lose(cluster: Cluster, node: number, loss: Loss): void {
  switch (loss) {
    case 'kill':
      return cluster.crash(node);
    case 'freeze':
      return cluster.freeze(node, LIMIT_MS / 2);
    case 'store partition':
      cluster.network.fault({ from: `n${node}`, to: 'store:1', kind: 'lose' });
      return;
    case 'terminate':
      void cluster.terminate(node);
  }
}

function hasAnswered(cluster: Cluster, role: string, token: number): boolean {
  const ofRole = [...cluster.workers.values()].filter(
    ({ options }) => role === 'leader' || cluster.anyNode().workerManager.roleOf(options.machineId) === role,
  );
  // A leader answers no workers of its own: its first sign is its first decision.
  return role === 'leader' || ofRole.some(({ fencingToken }) => fencingToken >= token);
}

function hasDecided(cluster: Cluster, key: string, modRevision: number, logFrom: number): boolean {
  return cluster.network.log.slice(logFrom).some(({ path, body }) => {
    if (path !== '/txn') return false;
    const { conditions, operations } = decodeTransaction(body);
    return operations.length > 0 && conditions.some((each) => each.key === key && each.modRevision === modRevision);
  });
}
