/** Randomized schedules of overlapping faults for controllers in processes of their own. */
import { Random } from '../src/net/random.js';
import type { StoreLinkFault } from './store-link.js';

/** One fault; times are in ms from the start of the schedule. `node` is an index, or the leader at that moment. */
export type SoakFault = { atMs: number; forMs: number } & (
  | { kind: 'kill'; node: number | 'leader' }
  | { kind: 'kill_all' }
  | { kind: 'freeze'; node: number | 'leader' }
  | { kind: 'store_outage' }
  | { kind: 'store_link'; node: number | 'leader'; fault: StoreLinkFault }
  | { kind: 'store_delay'; node: number; delayMs: number }
  | { kind: 'peer_cut'; from: number; to: number }
  | { kind: 'workers'; share: number; fault: 'cut' | 'deaf' | 'mute' }
  | { kind: 'workers_cut_from_node'; node: number }
  | { kind: 'copies'; share: number }
);

/** The faults of one run. */
export interface SoakSchedule {
  seed: number;
  faults: SoakFault[];
  /** Share of the machines and tasks of which each task fails on the machine; none if absent. */
  failingShare?: number;
}

const MIN_FAULTS = 3;
const MAX_EXTRA_FAULTS = 3;
/** Faults begin within this time, so that two or three overlap. */
const WINDOW_MS = 9000;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 7000;
/** A process that is back so soon returns in the middle of an election. */
const SHORT_RESTART_MS = 900;
const MAX_STORE_DELAY_MS = 400;

/** Share of the answered requests that arrive once more, and of the tasks that fail, with `withCopies`. */
const COPIED_SHARE = 0.5;
const FAILING_SHARE = 0.2;

const STORE_LINK_FAULTS: readonly StoreLinkFault[] = ['refused', 'cut', 'late', 'unanswered'];
const WORKER_FAULTS = ['cut', 'deaf', 'mute'] as const;

/** Draws the faults of one schedule. */
class ScheduleDraw {
  private readonly random: Random;

  constructor(
    seed: number,
    private readonly nodes: number,
  ) {
    this.random = new Random(seed);
  }

  private pick<T>(items: readonly T[]): T {
    return items[this.random.intBelow(items.length)]!;
  }

  private between(low: number, high: number): number {
    return Math.round(low + this.random.float() * (high - low));
  }

  private node(): number | 'leader' {
    return this.random.float() < 0.5 ? 'leader' : this.random.intBelow(this.nodes);
  }

  private fault(atMs: number): SoakFault {
    const forMs = this.between(MIN_FAULT_MS, MAX_FAULT_MS);
    const from = this.random.intBelow(this.nodes);
    const to = (from + 1 + this.random.intBelow(this.nodes - 1)) % this.nodes;
    const kinds: (() => SoakFault)[] = [
      () => ({ kind: 'kill', atMs, forMs, node: this.node() }),
      () => ({ kind: 'kill', atMs, forMs: this.between(0, SHORT_RESTART_MS), node: 'leader' }),
      () => ({ kind: 'kill_all', atMs, forMs }),
      () => ({ kind: 'freeze', atMs, forMs, node: this.node() }),
      () => ({ kind: 'store_outage', atMs, forMs }),
      () => ({ kind: 'store_link', atMs, forMs, node: this.node(), fault: this.pick(STORE_LINK_FAULTS) }),
      () => ({ kind: 'store_delay', atMs, forMs, node: from, delayMs: this.between(50, MAX_STORE_DELAY_MS) }),
      () => ({ kind: 'peer_cut', atMs, forMs, from, to }),
      () => ({ kind: 'workers', atMs, forMs, share: 0.2 + 0.6 * this.random.float(), fault: this.pick(WORKER_FAULTS) }),
      () => ({ kind: 'workers_cut_from_node', atMs, forMs, node: from }),
    ];
    return this.pick(kinds)();
  }

  /** The leader is lost several times in a row, each time soon after its successor has taken over. */
  private leaderSeries(): SoakFault[] {
    const count = 2 + this.random.intBelow(3);
    return Array.from({ length: count }, (_, index) => ({
      ...({ kind: 'kill', node: 'leader' } as const),
      ...{ atMs: index * this.between(1500, 3500), forMs: this.between(100, SHORT_RESTART_MS) },
    }));
  }

  faults(): SoakFault[] {
    const count = MIN_FAULTS + this.random.intBelow(MAX_EXTRA_FAULTS);
    const faults = Array.from({ length: count }, () => this.fault(this.between(0, WINDOW_MS)));
    const series = this.random.float() < 0.25 ? this.leaderSeries() : [];
    return [...faults, ...series].sort((a, b) => a.atMs - b.atMs);
  }
}

/** The schedule of a seed, for a cluster of that many controllers. */
export const soakScheduleOf = (seed: number, nodes: number): SoakSchedule => ({
  seed,
  faults: new ScheduleDraw(seed, nodes).faults(),
});

/** Adds copies of answered requests, and tasks that fail on some machines; the other faults stay the same. */
export const withCopies = ({ seed, faults }: SoakSchedule): SoakSchedule => ({
  seed,
  faults: [{ kind: 'copies', atMs: 0, forMs: WINDOW_MS + MAX_FAULT_MS, share: COPIED_SHARE }, ...faults],
  failingShare: FAILING_SHARE,
});
