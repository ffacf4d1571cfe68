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
  const cluster = new Cluster({ nodes: 3, teams: [{ name: 'red' }], ...options });
  for (let n = 0; n < MACHINES; n++) {
    cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}`, zone: ['a', 'b', 'c'][n % 3]!, runMs: 3000 });
  }
  await cluster.advance(WARM_UP_MS);
  let submitted = 0;
  const submitSome = (): void => {
    const isGang = !trial.load || submitted % 4 === 0;
    const submission = submissionOf(submitted++);
    void cluster.users.submit(encodeSubmission(isGang ? { ...submission, kind: 'gang' } : submission));
  };
  const load = new AbortController();
  const submitting = (async () => {
    if (!trial.load) return;
    while (!load.signal.aborted) {
      submitSome();
      await cluster.clock.sleep(JOB_EVERY_MS, load.signal);
    }
  })();
  await cluster.advance(3000 + trial.offsetMs);
  const lost = cluster.leader()!;
  const role = trial.role === 'leader' ? 'leader' : `part-${lost}`;
  const key = `live/claim/${role}`;
  const before = cluster.store.rows.get(key)!.modRevision;
  const begun = cluster.clock.now();
  const logFrom = cluster.network.log.length;
  lose(cluster, lost, trial.loss);
  const times: TakeoverTimes = {};
  const note = (step: keyof TakeoverTimes, isThere: boolean): void => {
    if (isThere) times[step] ??= cluster.clock.now() - begun;
  };
  while (cluster.clock.now() - begun < LIMIT_MS && (times.decided === undefined || times.answered === undefined)) {
    await cluster.advance(STEP_MS);
    // An idle cluster decides something when a job comes.
    if (!trial.load && times.claimed !== undefined && submitted === 0) submitSome();
    const claim = cluster.store.rows.get(key);
    note('detected', claim?.modRevision !== before);
    const owner = claim === undefined ? undefined : Number((claim.value as { node: string }).node.slice(1));
    if (claim === undefined || owner === undefined || owner === lost || !cluster.has(owner)) continue;
    note('claimed', true);
    note('copied', cluster.node(owner).replica.revision >= claim.modRevision);
    note('answered', hasAnswered(cluster, role, claim.modRevision));
    note('decided', hasDecided(cluster, key, claim.modRevision, logFrom));
  }
  load.abort();
  await submitting;
  await cluster.advance(15_000);
  return { times, broken: cluster.verdict() };
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
