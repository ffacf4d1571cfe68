/** Random schedules of faults, generated from a seed. */
import fc from 'fast-check';

/** Number of controllers. */
export const NODES = 3;
/** Each zone has one controller; the machines are distributed over them in turn. */
export const ZONES = ['a', 'b', 'c'];
/** Initial number of machines, unless the schedule sets another. */
export const MACHINES = 9;
/** ms within which all faults begin. */
export const FAULT_WINDOW_MS = 20_000;
/** Users cancel jobs in a window around the start of a fault: ms before and after it. */
const CANCEL_BEFORE_MS = 500;
const CANCEL_AFTER_MS = 8000;

/**
 * In large scenarios, jobs are submitted only after the controllers have held their partitions for longer than a
 * worker's lease plus the time of degraded serving: before that, no lease can be proved expired from the claim alone,
 * and wrong assumptions about workers stay hidden.
 */
const LARGE_SETTLE_MS = { min: 40_000, max: 60_000 };
const LARGE_MACHINE_COUNT = { min: 12, max: 40 };

/** The kinds of faults in a randomized scenario. */
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
  | 'copiedRequests'
  | 'cancelNow'
  | 'cancelAtTaskEnd'
  | 'oddRequests';

/** A fault with the fields of all kinds; each kind uses some of them. */
export interface ScheduledFault {
  kind: FaultKind;
  atMs: number;
  forMs: number;
  node?: number;
  machines?: number[];
  share?: number;
  slowMs?: number;
  refusedMs?: number;
  /**
   * Whether the refused node is also cut off from its peers: never, during the refusal alone, or during the outage too.
   */
  withoutPeers?: 'never' | 'alone' | 'throughout';
  times?: number;
  count?: number;
  path?: string;
  when?: 'sending' | 'answered' | 'answering';
}

/** The faults of a scenario and the times of its cancellations. */
export interface Schedule {
  seed: number;
  /** Initial number of machines. */
  machines?: number;
  /** ms from the start of the controllers to the first jobs. */
  settleMs?: number;
  faults: ScheduledFault[];
  /** Each entry cancels one job, `afterMs` after the start of a fault. */
  cancels: { fault: number; afterMs: number }[];
}

const node = fc.integer({ min: 0, max: NODES - 1 });
/** Indexes into the machines, sorted by id. */
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
/** A fault of any kind that occurs in small scenarios. */
export const smallScenarioFault = fc.oneof(...smallFaults);

/**
 * Adds kinds that small scenarios lack: randomly lost answers and heartbeats, a store that is too busy to write,
 * unreachable leaders of partitions, and delayed gossip.
 */
const largeScenarioFault = fc.oneof(
  ...smallFaults.map((arbitrary) => ({ arbitrary, weight: 1 })),
  { arbitrary: faultOf('messageLoss', { share, forMs }), weight: 8 },
  { arbitrary: faultOf('storeOverload', { share: fc.double({ min: 0.5, max: 1, noNaN: true }), forMs }), weight: 3 },
  { arbitrary: faultOf('leaderUnreachable', { node, machines, forMs }), weight: 3 },
  { arbitrary: faultOf('delayedGossip', { node, forMs: fc.integer({ min: 300, max: 8000 }) }), weight: 3 },
  { arbitrary: faultOf('restart', { node, forMs: fc.integer({ min: 0, max: 2000 }) }), weight: 3 },
);

const cancels = (minCount: number, maxCount: number) =>
  fc.array(
    fc.record({
      fault: fc.integer({ min: 0, max: 2 }),
      afterMs: fc.integer({ min: -CANCEL_BEFORE_MS, max: CANCEL_AFTER_MS }),
    }),
    { minLength: minCount, maxLength: maxCount },
  );
const seed = fc.integer({ min: 1, max: 1_000_000 });

/** Two or three faults at random times, with cancellations around them. */
export const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed,
  faults: fc.array(smallScenarioFault, { minLength: 2, maxLength: 3 }),
  cancels: cancels(2, 6),
});

/** Tens of machines, controllers that have been up for a while, and more simultaneous faults. */
export const largeSchedules: fc.Arbitrary<Schedule> = fc.record({
  seed,
  machines: fc.integer(LARGE_MACHINE_COUNT),
  settleMs: fc.integer(LARGE_SETTLE_MS),
  faults: fc.array(largeScenarioFault, { minLength: 2, maxLength: 5 }),
  cancels: cancels(4, 12),
});

/** Copies of answered requests on every link. */
const copiedRequests = fc.record({
  kind: fc.constant('copiedRequests' as const),
  atMs: fc.integer({ min: 0, max: FAULT_WINDOW_MS / 2 }),
  forMs: fc.integer({ min: 5000, max: FAULT_WINDOW_MS }),
  share,
});

/** Adds copied requests to the schedule generated from a seed, which is otherwise the same. */
export const withCopiedRequests = (schedule: Schedule, scheduleSeed: number): Schedule => ({
  ...schedule,
  faults: [...schedule.faults, ...fc.sample(copiedRequests, { seed: scheduleSeed, numRuns: 1 })],
});

/** The schedule generated from a seed. */
export const scheduleOf = (scheduleSeed: number): Schedule =>
  fc.sample(schedules, { seed: scheduleSeed, numRuns: 1 })[0]!;

/** The schedule of a large scenario generated from a seed. */
export const largeScheduleOf = (scheduleSeed: number): Schedule =>
  fc.sample(largeSchedules, { seed: scheduleSeed, numRuns: 1 })[0]!;
