import fc from 'fast-check';
import { Random } from '../net/random.js';
import { Cluster } from './cluster.js';
import { jobOf } from './fixtures.js';

/** ms until the cluster is up, and for which the invariant checker watches after the troubles. */
const READY_MS = 6000;
const CALM_MS = 100_000;
/** ms within which all troubles begin. */
const SPELL_MS = 20_000;
/** The most that a message is late, ms: well over a lease. */
const LATE_MS = 25_000;
/** ms for which a node may freeze at the next request of a kind. */
const TRAP_MS = 8000;
const NODES = 3;
const MACHINES = 9;
const SITES = ['a', 'b', 'c'];
/** How long tasks run on a machine: they end while the troubles last, or only when a cancellation must have stopped them. */
const RUNS_MS = [4000, 12_000, 60_000];
/** ms around the begin of a trouble in which users cancel jobs. */
const CANCEL_BEFORE_MS = 500;
const CANCEL_AFTER_MS = 8000;

/**
 * The larger scenarios begin when the controllers have held their partitions for longer than a lease and a hold-over: before
 * that no lease can be proved over from the claim alone, and mistakes about what is known of the workers do not show.
 */
const SETTLED_MS = { min: 40_000, max: 60_000 };
const MACHINES_OF_LARGE = { min: 12, max: 40 };
const WRITES = /^\/txn/;
const COMMANDS = /^\/commands/;
const REPORTS = /^\/hello/;

/** A trouble of any kind, with the fields of all. */
interface Trouble {
  kind: string;
  atMs: number;
  forMs: number;
  node?: number;
  machines?: number[];
  share?: number;
  slowMs?: number;
  aloneMs?: number;
  /** Whether its peers are cut off from the refused node too. */
  withoutPeers?: 'never' | 'alone' | 'throughout';
  times?: number;
  count?: number;
  path?: string;
  when?: 'sending' | 'answered' | 'answering';
}

export interface Schedule {
  seed: number;
  /** How many machines there are at first. */
  machines?: number;
  /** ms from the start of the controllers to the first jobs. */
  settleMs?: number;
  troubles: Trouble[];
  /** Users cancel a job each, so long after the begin of a trouble. */
  cancels: { trouble: number; afterMs: number }[];
}

const node = fc.integer({ min: 0, max: NODES - 1 });
/** Which machines, of all that are there in the order of their names. */
const machines = fc.uniqueArray(fc.integer({ min: 0, max: MACHINES - 1 }), { minLength: 1, maxLength: 4 });
const forMs = fc.integer({ min: 500, max: 25_000 });
const longMs = fc.integer({ min: 20_000, max: 45_000 });
const share = fc.double({ min: 0.1, max: 0.6, noNaN: true });
const trouble = (kind: string, fields: { [K in keyof Trouble]?: fc.Arbitrary<Trouble[K]> }) =>
  fc.record({
    kind: fc.constant(kind),
    atMs: fc.integer({ min: 0, max: SPELL_MS }),
    ...fields,
  }) as fc.Arbitrary<Trouble>;

const smallTroubles = [
  trouble('storeOut', { forMs: fc.oneof(forMs, longMs) }),
  trouble('storeSlow', { forMs, slowMs: fc.integer({ min: 100, max: 2500 }) }),
  trouble('refused', { node, forMs }),
  trouble('refusedThenOut', {
    node,
    aloneMs: fc.integer({ min: 200, max: 5000 }),
    forMs: longMs,
    withoutPeers: fc.constantFrom('never', 'alone', 'throughout'),
  }),
  trouble('lateWrites', { share, forMs }),
  trouble('lateReports', { share, forMs }),
  trouble('commandsHeld', { forMs: fc.oneof(forMs, longMs) }),
  trouble('deaf', { machines, forMs }),
  trouble('mute', { machines, forMs }),
  trouble('hang', { machines, forMs }),
  trouble('machinesDie', { machines, forMs: fc.constant(0) }),
  trouble('crash', { node, forMs }),
  trouble('restart', { node, forMs: fc.integer({ min: 0, max: 2000 }) }),
  trouble('allAway', { forMs: fc.integer({ min: 1000, max: 15_000 }) }),
  trouble('leadersChange', { times: fc.integer({ min: 2, max: 6 }), forMs: fc.constant(5000) }),
  trouble('zoneCut', { node, forMs }),
  trouble('cutFromStoreAndPeers', { node, forMs }),
  trouble('meshCut', { node, forMs }),
  trouble('freeze', {
    node,
    path: fc.constantFrom('.', 'txn', 'commands', 'hello', 'submit', 'withdraw', 'poll'),
    when: fc.constantFrom('sending' as const, 'answered' as const, 'answering' as const),
    forMs: fc.integer({ min: 500, max: 15_000 }),
  }),
  trouble('cloudOut', { forMs }),
  trouble('cancelNow', { count: fc.integer({ min: 1, max: 4 }), forMs: fc.constant(0) }),
  trouble('cancelAtEnd', { forMs }),
  trouble('oddRequests', { forMs: fc.constant(0) }),
];
const anyTrouble = fc.oneof(...smallTroubles);

/** What the first scenarios lacked: answers and reports lost at random, a store too busy to write, owners out of reach. */
const anyTroubleOfLarge = fc.oneof(
  ...smallTroubles.map((arbitrary) => ({ arbitrary, weight: 1 })),
  { arbitrary: trouble('lossy', { share, forMs }), weight: 8 },
  { arbitrary: trouble('storeBusy', { share: fc.double({ min: 0.5, max: 1, noNaN: true }), forMs }), weight: 3 },
  { arbitrary: trouble('ownerOutOfReach', { node, machines, forMs }), weight: 3 },
  { arbitrary: trouble('meshHeld', { node, forMs: fc.integer({ min: 300, max: 8000 }) }), weight: 3 },
  { arbitrary: trouble('restart', { node, forMs: fc.integer({ min: 0, max: 2000 }) }), weight: 3 },
);

const cancels = (least: number, most: number) =>
  fc.array(
    fc.record({
      trouble: fc.integer({ min: 0, max: 2 }),
      afterMs: fc.integer({ min: -CANCEL_BEFORE_MS, max: CANCEL_AFTER_MS }),
    }),
    { minLength: least, maxLength: most },
  );
const seed = fc.integer({ min: 1, max: 1_000_000 });

/** Two or three troubles and their moments; users cancel jobs close to them. */
export const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed,
  troubles: fc.array(anyTrouble, { minLength: 2, maxLength: 3 }),
  cancels: cancels(2, 6),
});

/** Tens of machines, controllers that have been up for a while, and more troubles at once. */
export const largeSchedules: fc.Arbitrary<Schedule> = fc.record({
  seed,
  machines: fc.integer(MACHINES_OF_LARGE),
  settleMs: fc.integer(SETTLED_MS),
  troubles: fc.array(anyTroubleOfLarge, { minLength: 2, maxLength: 5 }),
  cancels: cancels(4, 12),
});

/** ms until nothing is left of a trouble. */
const lastsMs = ({ kind, forMs, aloneMs = 0, times = 1 }: Trouble): number =>
  aloneMs +
  forMs * times +
  (kind === 'lateWrites' || kind === 'lateReports' ? LATE_MS : 0) +
  (kind === 'freeze' ? TRAP_MS : 0);

class RandomizedScenario {
  private readonly cluster = new Cluster({
    nodes: NODES,
    teams: [
      { name: 'red', cpus: 8, cpus_max: 16 },
      { name: 'blue', cpus: 16 },
    ],
    bootMs: 4000,
    runMs: RUNS_MS[0]!,
  });
  private readonly random: Random;
  private submitted = 0;

  constructor(private readonly schedule: Schedule) {
    this.random = new Random(schedule.seed);
  }

  /** Which rules were broken, if any. */
  async play(): Promise<string[]> {
    const { cluster, schedule } = this;
    const { clock } = cluster;
    const { machines = MACHINES, settleMs = READY_MS } = schedule;
    for (let n = 0; n < machines; n++) {
      const runMs = Math.round(this.random.jitter(RUNS_MS[this.random.below(RUNS_MS.length)]!));
      cluster.addWorker({ host: `i-${String(n).padStart(6, '0')}`, site: SITES[n % 3]!, runMs });
    }
    await cluster.advance(settleMs);
    this.submitSome();
    for (let ms = 4000; ms <= SPELL_MS; ms += 8000) clock.after(ms, () => this.submitSome());
    for (const { trouble, afterMs } of schedule.cancels) {
      const { atMs } = schedule.troubles[trouble % schedule.troubles.length]!;
      clock.after(atMs + afterMs, () => this.cancelSome(1));
    }
    let lastMs = SPELL_MS;
    for (const trouble of schedule.troubles) {
      lastMs = Math.max(lastMs, trouble.atMs + lastsMs(trouble));
      clock.after(trouble.atMs, () => void this.begin(trouble));
    }
    await cluster.advance(lastMs + 1);
    cluster.checker.troublesOver(clock.now());
    await cluster.advance(CALM_MS);
    const broken = cluster.verdict();
    return cluster.users.jobs.size > 0 ? broken : [...broken, 'no job was accepted'];
  }

  private submitSome(): void {
    const job = (fields: object) => {
      const Ref = `j-${String(this.submitted++).padStart(6, '0')}`;
      void this.cluster.users.submit(jobOf({ Ref, Owner: this.random.float() < 0.5 ? 'red' : 'blue', ...fields }));
    };
    // One service is of the team with a limit: more would leave no room under it for what ends.
    const Owner = this.submitted === 0 ? 'red' : 'blue';
    job({ Shape: 'service', Rank: 'prod', GuessS: 0, Shards: 3, Spread: true, Owner });
    job({ Shape: 'ensemble', Rank: 'high', Shards: 3, Cpus: 3, OneZone: this.random.float() < 0.5 });
    job({ Shards: 1 + this.random.below(4), OneZone: this.random.float() < 0.3 });
    job({ Shards: 2, Site: SITES[this.random.below(3)], Rank: 'low' });
    // They come to all nodes at once, and their team is at its limit.
    for (let n = 0; n < 3; n++) job({ Shards: 1 + this.random.below(3), Owner: 'red' });
  }

  /** Users cancel jobs that are not over, as far as they know. */
  private cancelSome(count: number): void {
    const open = [...this.cluster.users.jobs].filter(([, { phase }]) => phase === 'queued' || phase === 'running');
    for (const [ref] of this.random.sample(open, count)) void this.cluster.users.withdraw(ref);
  }

  private hosts(indexes: number[] = []): string[] {
    const all = [...this.cluster.workers.keys()].sort();
    return indexes.map((index) => all[index % all.length]!).filter((host) => host !== undefined);
  }

  /** The end of the trouble comes by itself. */
  private async begin(trouble: Trouble): Promise<void> {
    const { cluster } = this;
    const { clock, network, store } = cluster;
    const { kind, forMs, share = 1, aloneMs = 0 } = trouble;
    const index = trouble.node ?? 0;
    const name = `n${index}`;
    const peers = Array.from({ length: NODES }, (_, each) => `n${each}`).filter((each) => each !== name);
    const hosts = this.hosts(trouble.machines);
    const during = async (begin: () => void, end: () => void, ms = forMs) => {
      begin();
      await clock.sleep(ms);
      end();
    };
    const amongHosts = (set: Set<string>) =>
      during(
        () => hosts.forEach((host) => set.add(host)),
        () => hosts.forEach((host) => set.delete(host)),
      );
    const faulty = (fault: Parameters<typeof network.fault>[0], end = network.fault(fault)) =>
      during(() => undefined, end);
    const away = (nodes: number[], ms = forMs) =>
      during(
        () => nodes.forEach((each) => cluster.crash(each)),
        () => nodes.filter((each) => !cluster.has(each)).forEach((each) => cluster.start(each)),
        ms,
      );
    const parted = peers.flatMap((peer) => [`${name}>${peer}`, `${peer}>${name}`]);
    const meshCut = (ms = forMs) =>
      during(
        () => parted.forEach((pair) => cluster.parted.add(pair)),
        () => parted.forEach((pair) => cluster.parted.delete(pair)),
        ms,
      );
    const storeOut = () =>
      during(
        () => (store.out = true),
        () => store.endOutage(),
      );
    switch (kind) {
      case 'storeOut':
        return storeOut();
      case 'storeSlow':
        return during(
          () => (store.slowMs = trouble.slowMs!),
          () => (store.slowMs = 0),
        );
      case 'refused':
        return during(
          () => store.refused.add(name),
          () => store.refused.delete(name),
        );
      case 'refusedThenOut':
        store.refused.add(name);
        if (trouble.withoutPeers === 'alone') void meshCut(aloneMs);
        if (trouble.withoutPeers === 'throughout') void meshCut(aloneMs + forMs);
        await clock.sleep(aloneMs);
        await storeOut();
        store.refused.delete(name);
        return;
      case 'lateWrites':
        return faulty({ to: 'store:1', path: WRITES, kind: 'late', lateMs: [2000, 12_000], share });
      case 'lateReports':
        return during(
          () => (cluster.lateReports = { share, lateMs: [2000, LATE_MS] }),
          () => (cluster.lateReports = undefined),
        );
      case 'commandsHeld':
        return during(() => undefined, network.cut({ path: COMMANDS }));
      case 'lossy':
        await Promise.all([
          faulty({ to: 'store:1', path: WRITES, kind: 'answerLost', share }),
          faulty({ path: COMMANDS, kind: 'answerLost', share }),
          faulty({ path: REPORTS, kind: 'refuse', share }),
        ]);
        return;
      case 'storeBusy':
        return faulty({ to: 'store:1', path: WRITES, kind: 'status', status: 429, body: {}, share });
      case 'ownerOutOfReach': {
        const pairs = hosts.map((host) => `${host}>${name}`);
        return during(
          () => pairs.forEach((pair) => cluster.unreachable.add(pair)),
          () => pairs.forEach((pair) => cluster.unreachable.delete(pair)),
        );
      }
      case 'meshHeld':
        await Promise.all(peers.map((peer) => during(() => undefined, network.cut({ from: name, to: peer }))));
        return;
      case 'deaf':
        return amongHosts(cluster.deaf);
      case 'mute':
        return amongHosts(cluster.mute);
      case 'hang':
        return during(
          () => hosts.forEach((host) => cluster.workers.get(host)?.hang()),
          () => hosts.forEach((host) => cluster.workers.get(host)?.goOn()),
        );
      case 'machinesDie':
        return hosts.forEach((host) => cluster.kill(host));
      case 'crash':
        return away([index]);
      case 'restart':
        return cluster.restart(index, forMs);
      case 'allAway':
        return away(Array.from({ length: NODES }, (_, each) => each));
      case 'leadersChange':
        for (let n = 0; n < trouble.times!; n++) {
          const leader = cluster.leader();
          await (leader === undefined ? clock.sleep(forMs) : away([leader], forMs));
        }
        return;
      case 'zoneCut': {
        const site = SITES[index]!;
        const inside = [...cluster.workers].filter(([, worker]) => worker.options.site === site);
        return during(() => undefined, network.split([name, ...inside.map(([host]) => host)]));
      }
      case 'cutFromStoreAndPeers':
        await Promise.all([faulty({ from: name, to: 'store:1', kind: 'lose' }), meshCut()]);
        return;
      case 'meshCut':
        return meshCut();
      case 'freeze':
        return during(
          () => undefined,
          cluster.freezeAt(index, { path: new RegExp(trouble.path!), when: trouble.when!, forMs }),
          TRAP_MS,
        );
      case 'cloudOut':
        return faulty({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
      case 'cancelNow':
        return this.cancelSome(trouble.count!);
      case 'cancelAtEnd':
        return during(
          () => (cluster.onTaskEnd = (shard, cause) => this.cancelOf(shard, cause)),
          () => (cluster.onTaskEnd = () => undefined),
        );
      case 'oddRequests':
        await cluster.users.askOddThings();
    }
  }

  private cancelOf(shard: string, cause: string): void {
    if (cause === 'done') void this.cluster.users.withdraw(shard.slice(0, shard.lastIndexOf('/')));
  }
}

/** Plays a scenario and tells which rules were broken in it. */
export const play = (schedule: Schedule): Promise<string[]> => new RandomizedScenario(schedule).play();

/** The schedule that belongs to a seed. */
export const scheduleOf = (seed: number): Schedule => fc.sample(schedules, { seed, numRuns: 1 })[0]!;

/** The schedule of a larger scenario that belongs to a seed. */
export const largeScheduleOf = (seed: number): Schedule => fc.sample(largeSchedules, { seed, numRuns: 1 })[0]!;
