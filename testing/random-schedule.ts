/** Random schedules of faults, generated from a seed. */
import fc from 'fast-check';

/** How many controllers there are. */
export const NODES = 3;
/** A controller each, and the machines in turn. */
export const ZONES = ['a', 'b', 'c'];
/** How many machines there are at first, unless the schedule says otherwise. */
export const MACHINES = 9;
/** ms within which all faults begin. */
export const FAULT_WINDOW_MS = 20_000;
/** ms around the begin of a fault in which users cancel jobs. */
const CANCEL_BEFORE_MS = 500;
const CANCEL_AFTER_MS = 8000;

/**
 * The larger scenarios begin when the controllers have held their partitions for longer than a lease and a hold-over: before
 * that no lease can be proved over from the claim alone, and mistakes about what is known of the workers do not show.
 */
const SETTLED_MS = { min: 40_000, max: 60_000 };
const MACHINES_OF_LARGE = { min: 12, max: 40 };

/** What can go wrong in a randomized scenario. */
export type FaultKind =
  | 'storeOutage'
  | 'slowStore'
  | 'storeOverload'
  | 'refusedByStore'
  | 'refusedThenOutage'
  | 'lateTransactions'
  | 'lateHeartbeats'
  | 'messageLoss'
  | 'delayedCommands'
  | 'inboundLoss'
  | 'outboundLoss'
  | 'suspension'
  | 'machineLoss'
  | 'crash'
  | 'restart'
  | 'allNodesDown'
  | 'leaderChanges'
  | 'zonePartition'
  | 'nodePartition'
  | 'leaderUnreachable'
  | 'gossipPartition'
  | 'delayedGossip'
  | 'processPause'
  | 'cloudOutage'
  | 'cancelNow'
  | 'cancelAtTaskEnd'
  | 'oddRequests';

/** A fault of any kind, with the fields of all kinds. */
export interface ScheduledFault {
  kind: FaultKind;
  atMs: number;
  forMs: number;
  node?: number;
  machines?: number[];
  share?: number;
  slowMs?: number;
  refusedMs?: number;
  /** Whether its peers are cut off from the refused node too. */
  withoutPeers?: 'never' | 'alone' | 'throughout';
  times?: number;
  count?: number;
  path?: string;
  when?: 'sending' | 'answered' | 'answering';
}

/** The faults of a scenario and the moments of its cancellations. */
export interface Schedule {
  seed: number;
  /** How many machines there are at first. */
  machines?: number;
  /** ms from the start of the controllers to the first jobs. */
  settleMs?: number;
  faults: ScheduledFault[];
  /** Users cancel a job each, so long after the begin of a fault. */
  cancels: { fault: number; afterMs: number }[];
}

const node = fc.integer({ min: 0, max: NODES - 1 });
/** Which machines, of all that are there in the order of their names. */
const machines = fc.uniqueArray(fc.integer({ min: 0, max: MACHINES - 1 }), { minLength: 1, maxLength: 4 });
const forMs = fc.integer({ min: 500, max: 25_000 });
const longMs = fc.integer({ min: 20_000, max: 45_000 });
const share = fc.double({ min: 0.1, max: 0.6, noNaN: true });
const faultOf = (kind: FaultKind, fields: { [K in keyof ScheduledFault]?: fc.Arbitrary<ScheduledFault[K]> }) =>
  fc.record({
    kind: fc.constant(kind),
    atMs: fc.integer({ min: 0, max: FAULT_WINDOW_MS }),
    ...fields,
  }) as fc.Arbitrary<ScheduledFault>;

const smallFaults = [
  faultOf('storeOutage', { forMs: fc.oneof(forMs, longMs) }),
  faultOf('slowStore', { forMs, slowMs: fc.integer({ min: 100, max: 2500 }) }),
  faultOf('refusedByStore', { node, forMs }),
  faultOf('refusedThenOutage', {
    node,
    refusedMs: fc.integer({ min: 200, max: 5000 }),
    forMs: longMs,
    withoutPeers: fc.constantFrom('never', 'alone', 'throughout'),
  }),
  faultOf('lateTransactions', { share, forMs }),
  faultOf('lateHeartbeats', { share, forMs }),
  faultOf('delayedCommands', { forMs: fc.oneof(forMs, longMs) }),
  faultOf('inboundLoss', { machines, forMs }),
  faultOf('outboundLoss', { machines, forMs }),
  faultOf('suspension', { machines, forMs }),
  faultOf('machineLoss', { machines, forMs: fc.constant(0) }),
  faultOf('crash', { node, forMs }),
  faultOf('restart', { node, forMs: fc.integer({ min: 0, max: 2000 }) }),
  faultOf('allNodesDown', { forMs: fc.integer({ min: 1000, max: 15_000 }) }),
  faultOf('leaderChanges', { times: fc.integer({ min: 2, max: 6 }), forMs: fc.constant(5000) }),
  faultOf('zonePartition', { node, forMs }),
  faultOf('nodePartition', { node, forMs }),
  faultOf('gossipPartition', { node, forMs }),
  faultOf('processPause', {
    node,
    path: fc.constantFrom('.', 'txn', 'commands', 'hello', 'submit', 'cancel', 'poll'),
    when: fc.constantFrom('sending' as const, 'answered' as const, 'answering' as const),
    forMs: fc.integer({ min: 500, max: 15_000 }),
  }),
  faultOf('cloudOutage', { forMs }),
  faultOf('cancelNow', { count: fc.integer({ min: 1, max: 4 }), forMs: fc.constant(0) }),
  faultOf('cancelAtTaskEnd', { forMs }),
  faultOf('oddRequests', { forMs: fc.constant(0) }),
];
/** A fault of any kind that small scenarios know. */
export const anyFault = fc.oneof(...smallFaults);

/** What the first scenarios lacked: answers and heartbeats lost at random, a store too busy to write, leaders of partitions out of reach. */
const anyFaultOfLarge = fc.oneof(
  ...smallFaults.map((arbitrary) => ({ arbitrary, weight: 1 })),
  { arbitrary: faultOf('messageLoss', { share, forMs }), weight: 8 },
  { arbitrary: faultOf('storeOverload', { share: fc.double({ min: 0.5, max: 1, noNaN: true }), forMs }), weight: 3 },
  { arbitrary: faultOf('leaderUnreachable', { node, machines, forMs }), weight: 3 },
  { arbitrary: faultOf('delayedGossip', { node, forMs: fc.integer({ min: 300, max: 8000 }) }), weight: 3 },
  { arbitrary: faultOf('restart', { node, forMs: fc.integer({ min: 0, max: 2000 }) }), weight: 3 },
);

const cancels = (least: number, most: number) =>
  fc.array(
    fc.record({
      fault: fc.integer({ min: 0, max: 2 }),
      afterMs: fc.integer({ min: -CANCEL_BEFORE_MS, max: CANCEL_AFTER_MS }),
    }),
    { minLength: least, maxLength: most },
  );
const seed = fc.integer({ min: 1, max: 1_000_000 });

/** Two or three faults and their moments; users cancel jobs close to them. */
export const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed,
  faults: fc.array(anyFault, { minLength: 2, maxLength: 3 }),
  cancels: cancels(2, 6),
});

/** Tens of machines, controllers that have been up for a while, and more faults at once. */
export const largeSchedules: fc.Arbitrary<Schedule> = fc.record({
  seed,
  machines: fc.integer(MACHINES_OF_LARGE),
  settleMs: fc.integer(SETTLED_MS),
  faults: fc.array(anyFaultOfLarge, { minLength: 2, maxLength: 5 }),
  cancels: cancels(4, 12),
});

/** The schedule that belongs to a seed. */
export const scheduleOf = (seedOfSchedule: number): Schedule =>
  fc.sample(schedules, { seed: seedOfSchedule, numRuns: 1 })[0]!;

/** The schedule of a larger scenario that belongs to a seed. */
export const largeScheduleOf = (seedOfSchedule: number): Schedule =>
  fc.sample(largeSchedules, { seed: seedOfSchedule, numRuns: 1 })[0]!;
