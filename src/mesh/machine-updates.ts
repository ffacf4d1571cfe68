import { MACHINE_NEWS_BYTES, MACHINES_A_TURN, MACHINES_IN_GOSSIP_BYTES } from '../constants.js';
import type { Gossip, MachineNews } from './messages.js';

type Told = Pick<Gossip, 'life' | 'seq' | 'whole' | 'machines' | 'same'>;

/** All that is told of a machine besides what every report changes. */
const lasting = (machine: MachineNews): string => {
  const { endpoint, flavor, site, reclaimable, tenure, sick, cooling, unreached, slow, mute, owner } = machine;
  const flags = [reclaimable, sick, cooling, unreached, slow, mute].map(Number).join('');
  return [endpoint, flavor, site, tenure, flags, owner, ...machine.images, '', ...machine.failedJobs].join(' ');
};

/** Bytes that a machine takes in a message, a safe upper bound. */
const bytesOf = (news: MachineNews, text: string): number =>
  MACHINE_NEWS_BYTES + Buffer.byteLength(text) + news.host.length + news.images.length + news.failedJobs.length;

/** The sender's own machines as they were at one moment, for all peers that are told within the next. */
export interface OwnMachines {
  /** Steady ms. */
  at: number;
  machines: readonly { news: MachineNews; lasting: string }[];
}

export const describeOwnMachines = (at: number, machines: readonly MachineNews[]): OwnMachines => ({
  at,
  machines: machines.map((news) => ({ news, lasting: lasting(news) })),
});

/**
 * What each peer has been told of this node's own machines. Said again in full every second, that grows with machines and
 * nodes; so a peer is told in full what has changed, and of the rest only when it was last heard, by its number.
 */
export class SentMachineUpdates {
  private readonly numbers = new Map<string, number>();
  private next = 0;
  private readonly peers = new Map<string, { seq: number; told: Map<string, string> }>();

  /** `life` tells this process from its former ones. */
  constructor(private readonly life: number) {}

  /** The peer has missed something, or may have: next time it is told all. */
  renew(peer: string): void {
    this.peers.get(peer)?.told.clear();
  }

  compose(peer: string, own: OwnMachines, passedOn: readonly MachineNews[], now: number): Told {
    const { machines } = own;
    const age = now - own.at;
    // Names never come back, so numbers of machines that are gone are given up now and then.
    if (this.numbers.size > 2 * machines.length + 100) {
      this.numbers.clear();
      for (const { told } of this.peers.values()) told.clear();
    }
    let known = this.peers.get(peer);
    if (known === undefined) this.peers.set(peer, (known = { seq: 0, told: new Map() }));
    const whole = known.told.size === 0;
    const changed: MachineNews[] = [];
    // What finds no room is told next time: a peer closes the link on a message that is larger than it takes.
    let room = MACHINES_IN_GOSSIP_BYTES;
    const same: Told['same'] = { numbers: [], heardAgesMs: [], ticks: [] };
    for (const { news, lasting } of machines) {
      const { host } = news;
      let number = this.numbers.get(host);
      if (number === undefined) this.numbers.set(host, (number = this.next++));
      // A notice runs down all the time.
      if (known.told.get(host) === lasting && news.warnedMs === null) {
        same.numbers.push(number);
        same.heardAgesMs.push(Math.round(news.heardAgeMs + age));
        same.ticks.push(news.tick);
        continue;
      }
      room -= bytesOf(news, lasting);
      if (room < 0) continue;
      known.told.set(host, lasting);
      const warnedMs = news.warnedMs === null ? null : news.warnedMs - age;
      changed.push({ ...news, number, heardAgeMs: news.heardAgeMs + age, knownAgeMs: age, warnedMs });
    }
    known.seq++;
    changed.push(...somePassedOn(passedOn, room, known.seq));
    return { life: this.life, seq: known.seq, whole, machines: changed, same };
  }
}

/**
 * As many machines of others as there is room for. What is passed on comes and goes, and has no numbers: it is told anew each
 * time, and the turn begins at another machine.
 */
function somePassedOn(passedOn: readonly MachineNews[], room: number, turn: number): MachineNews[] {
  const chosen: MachineNews[] = [];
  const begin = passedOn.length === 0 ? 0 : (turn * MACHINES_A_TURN) % passedOn.length;
  let left = room;
  for (const news of [...passedOn.slice(begin), ...passedOn.slice(0, begin)]) {
    left -= bytesOf(news, lasting(news));
    if (left < 0) break;
    chosen.push(news);
  }
  return chosen;
}

/** A machine of which nothing is new but these. */
export interface UnchangedMachine {
  machine: MachineNews;
  heardAgeMs: number;
  tick: number;
}

/** What the peers have told of their machines so far. */
export class ReceivedMachineUpdates {
  private readonly senders = new Map<string, { life: number; seq: number; machines: Map<number, MachineNews> }>();

  /**
   * The machines that a message speaks of: those told in full, and those of which no more than the times is new. `gap`: the
   * message builds on something that never came.
   */
  take({ node, life, seq, whole, machines, same }: Gossip): {
    machines: MachineNews[];
    same: UnchangedMachine[];
    gap: boolean;
  } {
    let sender = this.senders.get(node);
    // A message of a former life, or one that a newer has overtaken, says nothing that is not known better.
    if (sender?.life === life && seq <= sender.seq) return { machines: [], same: [], gap: false };
    const gap = !whole && (sender?.life !== life || seq !== sender.seq + 1);
    if (sender === undefined || whole || gap) this.senders.set(node, (sender = { life, seq, machines: new Map() }));
    sender.seq = seq;
    const still: UnchangedMachine[] = [];
    for (const machine of machines) if (machine.number >= 0) sender.machines.set(machine.number, machine);
    for (const [at, number] of same.numbers.entries()) {
      const machine = sender.machines.get(number);
      if (machine !== undefined) still.push({ machine, heardAgeMs: same.heardAgesMs[at]!, tick: same.ticks[at]! });
    }
    return { machines, same: still, gap };
  }
}
