/** Random schedules of troubles, drawn from a seed. */
import fc from 'fast-check';

export const NODES = 3;
/** A controller each, and the machines in turn. */
export const ZONES = ['a', 'b', 'c'];
/** How many machines there are at first, unless the schedule says otherwise. */
export const MACHINES = 9;
/** ms within which all troubles begin. */
export const SPELL_MS = 20_000;
/** ms around the begin of a trouble in which users cancel jobs. */
const CANCEL_BEFORE_MS = 500;
const CANCEL_AFTER_MS = 8000;

/**
 * The larger scenarios begin when the controllers have held their partitions for longer than a lease and a hold-over: before
 * that no lease can be proved over from the claim alone, and mistakes about what is known of the workers do not show.
 */
const SETTLED_MS = { min: 40_000, max: 60_000 };
const MACHINES_OF_LARGE = { min: 12, max: 40 };

export type TroubleKind =
  | 'storeOut'
  | 'storeSlow'
  | 'storeBusy'
  | 'refused'
  | 'refusedThenOut'
  | 'lateWrites'
  | 'lateReports'
  | 'lossy'
  | 'commandsHeld'
  | 'deaf'
  | 'mute'
  | 'hang'
  | 'machinesDie'
  | 'crash'
  | 'restart'
  | 'allAway'
  | 'leadersChange'
  | 'zoneCut'
  | 'cutFromStoreAndPeers'
  | 'ownerOutOfReach'
  | 'meshCut'
  | 'meshHeld'
  | 'freeze'
  | 'cloudOut'
  | 'cancelNow'
  | 'cancelAtEnd'
  | 'oddRequests';

/** A trouble of any kind, with the fields of all. */
export interface Trouble {
  kind: TroubleKind;
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
const trouble = (kind: TroubleKind, fields: { [K in keyof Trouble]?: fc.Arbitrary<Trouble[K]> }) =>
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
/** A trouble of any kind that small scenarios know. */
export const anyTrouble = fc.oneof(...smallTroubles);

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

/** The schedule that belongs to a seed. */
export const scheduleOf = (seed: number): Schedule => fc.sample(schedules, { seed, numRuns: 1 })[0]!;

/** The schedule of a larger scenario that belongs to a seed. */
export const largeScheduleOf = (seed: number): Schedule => fc.sample(largeSchedules, { seed, numRuns: 1 })[0]!;
