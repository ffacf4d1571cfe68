/**
 * Measures the takeover of a role from outside the controllers, by what the store, the workers and the network of an
 * in-memory cluster show, so that any version of the program can be measured.
 */
import { Cluster } from './cluster.js';
import { decodeTransaction } from './fake-store-wire-codec.js';
import type { ClusterOptions } from './fixtures.js';
import { encodeSubmission, type Submission } from './submission-wire-codec.js';

/** How a controller loses a role. */
export type RoleLoss = 'kill' | 'freeze' | 'store partition' | 'terminate';
/** The role that is lost: leader of the cluster, or of a partition. */
export type MeasuredRole = 'leader' | 'partition';

/** One takeover to be measured. */
export interface Trial {
  role: MeasuredRole;
  loss: RoleLoss;
  /** Are jobs submitted throughout the trial? */
  load: boolean;
  /** ms by which the loss is shifted against the heartbeats. */
  offsetMs: number;
}

/** ms from the loss to each step of the takeover; undefined: not reached within `TAKEOVER_LIMIT_MS`. */
export interface TakeoverTimes {
  /** The former claim has been removed from the store. */
  detected?: number;
  /** Another controller holds the claim on the role. */
  claimed?: number;
  /** The new holder's replica of the records is complete up to the claim. */
  copied?: number;
  /** A worker has reported the new fencing token. */
  answered?: number;
  /** A transaction with changes was sent to the store on condition of the new claim. */
  decided?: number;
}

const TAKEOVER_LIMIT_MS = 20_000;
const STEP_MS = 5;
const MACHINES = 9;
const WARM_UP_MS = 12_000;
const JOB_PERIOD_MS = 400;

/** Runs one loss of a role, and returns the times of its takeover and the violated rules. */
export async function measureTakeover(trial: Trial, options: ClusterOptions = {}) {
  const cluster = await startCluster(options);
  const submitter = new Submitter(cluster, trial.load);
  const load = new AbortController();
  const submitting = submitter.run(load.signal);
  await cluster.advance(3000 + trial.offsetMs);
  const lostNode = cluster.leader()!;
  const role = trial.role === 'leader' ? 'leader' : `part-${lostNode}`;
  const key = `live/claim/${role}`;
  const claimRevision = cluster.store.rows.get(key)!.modRevision;
  const lostAt = cluster.clock.now();
  const logStart = cluster.network.log.length;
  injectLoss(cluster, lostNode, trial.loss);
  const times: TakeoverTimes = {};
  const observed = { cluster, role, key, claimRevision, lostAt, lostNode, logStart, times };
  while (
    cluster.clock.now() - lostAt < TAKEOVER_LIMIT_MS &&
    (times.decided === undefined || times.answered === undefined)
  ) {
    await cluster.advance(STEP_MS);
    // Without load, a job has to be submitted so that the new holder has something to decide.
    if (!trial.load && times.claimed !== undefined && submitter.submitted === 0) submitter.submitOne();
    observeSteps(observed);
  }
  load.abort();
  await submitting;
  await cluster.advance(15_000);
  return { times, violations: cluster.stopAndCheck() };
}

async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const cluster = new Cluster({ nodes: 3, teams: [{ name: 'red' }], ...options });
  for (let n = 0; n < MACHINES; n++) {
    cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}`, zone: ['a', 'b', 'c'][n % 3]!, runMs: 3000 });
  }
  await cluster.advance(WARM_UP_MS);
  return cluster;
}

/** Submits jobs at a fixed rate; without load, only on request. */
class Submitter {
  submitted = 0;

  constructor(
    private readonly cluster: Cluster,
    private readonly hasLoad: boolean,
  ) {}

  submitOne(): void {
    const isGang = !this.hasLoad || this.submitted % 4 === 0;
    const submission = loadSubmission(this.submitted++);
    void this.cluster.users.submit(encodeSubmission(isGang ? { ...submission, kind: 'gang' } : submission));
  }

  async run(signal: AbortSignal): Promise<void> {
    if (!this.hasLoad) return;
    while (!signal.aborted) {
      this.submitOne();
      await this.cluster.clock.sleep(JOB_PERIOD_MS, signal);
    }
  }
}

interface ObservedTakeover {
  cluster: Cluster;
  role: string;
  /** Store key of the claim on the role. */
  key: string;
  /** Revision of the claim before the loss. */
  claimRevision: number;
  /** When the role was lost. */
  lostAt: number;
  lostNode: number;
  /** Length of the network's log at the time of the loss. */
  logStart: number;
  times: TakeoverTimes;
}

/** Records the time of each step that is observed for the first time. */
function observeSteps({
  cluster,
  role,
  key,
  claimRevision,
  lostAt,
  lostNode,
  logStart,
  times,
}: ObservedTakeover): void {
  const record = (step: keyof TakeoverTimes, isDone: boolean): void => {
    if (isDone) times[step] ??= cluster.clock.now() - lostAt;
  };
  const claim = cluster.store.rows.get(key);
  record('detected', claim?.modRevision !== claimRevision);
  if (claim === undefined) return;
  const owner = Number((claim.value as { node: string }).node.slice(1));
  if (owner === lostNode || !cluster.isUp(owner)) return;
  record('claimed', true);
  record('copied', cluster.node(owner).replica.revision >= claim.modRevision);
  record('answered', hasAnswered(cluster, role, claim.modRevision));
  record('decided', hasDecided(cluster, key, claim.modRevision, logStart));
}

const loadSubmission = (n: number): Submission => ({
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

function injectLoss(cluster: Cluster, node: number, loss: RoleLoss): void {
  switch (loss) {
    case 'kill':
      return cluster.crash(node);
    case 'freeze':
      return cluster.freeze(node, TAKEOVER_LIMIT_MS / 2);
    case 'store partition':
      cluster.network.addFault({ from: `n${node}`, to: 'store:1', kind: 'lose' });
      return;
    case 'terminate':
      void cluster.terminate(node);
  }
}

function hasAnswered(cluster: Cluster, role: string, token: number): boolean {
  const ofRole = [...cluster.workers.values()].filter(
    ({ options }) => role === 'leader' || cluster.anyNode().workerManager.roleOf(options.machineId) === role,
  );
  // The cluster's leader answers no heartbeats by that role, so this step does not apply to it.
  return role === 'leader' || ofRole.some(({ fencingToken }) => fencingToken >= token);
}

function hasDecided(cluster: Cluster, key: string, modRevision: number, logStart: number): boolean {
  return cluster.network.log.slice(logStart).some(({ path, body }) => {
    if (path !== '/txn') return false;
    const { conditions, operations } = decodeTransaction(body);
    return operations.length > 0 && conditions.some((each) => each.key === key && each.modRevision === modRevision);
  });
}
