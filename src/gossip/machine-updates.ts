import { MACHINE_UPDATE_BYTES, FORWARDED_MACHINES_STEP, MACHINES_IN_GOSSIP_BYTES } from '../constants/gossip.js';
import type { Gossip, MachineUpdate } from './messages.js';

type Told = Pick<Gossip, 'incarnation' | 'messageNumber' | 'isSnapshot' | 'machines' | 'unchanged'>;

/** All that is told of a machine besides what every report changes. */
const lasting = (machine: MachineUpdate): string => {
  const {
    endpoint,
    machineType,
    zone,
    isSpot,
    agentEpoch,
    isQuarantined,
    isBackingOff,
    isUnreached,
    isSlow,
    isMute,
    partitionLeader,
  } = machine;
  const flags = [isSpot, isQuarantined, isBackingOff, isUnreached, isSlow, isMute].map(Number).join('');
  return [
    endpoint,
    machineType,
    zone,
    agentEpoch,
    flags,
    partitionLeader,
    ...machine.images,
    '',
    ...machine.failedJobs,
  ].join(' ');
};

/** Bytes that a machine takes in a message, a safe upper bound. */
const bytesOf = (news: MachineUpdate, text: string): number =>
  MACHINE_UPDATE_BYTES + Buffer.byteLength(text) + news.machineId.length + news.images.length + news.failedJobs.length;

/** The sender's own machines as they were at one moment, for all peers that are told within the next. */
export interface OwnMachines {
  /** Steady ms. */
  at: number;
  machines: readonly { news: MachineUpdate; lasting: string }[];
}

export const describeOwnMachines = (at: number, machines: readonly MachineUpdate[]): OwnMachines => ({
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
  private readonly peers = new Map<string, { messageNumber: number; told: Map<string, string> }>();

  /** `life` tells this process from its former ones. */
  constructor(private readonly incarnation: number) {}

  /** The peer has missed something, or may have: next time it is told all. */
  requireSnapshot(peer: string): void {
    this.peers.get(peer)?.told.clear();
  }

  compose(peer: string, own: OwnMachines, passedOn: readonly MachineUpdate[], now: number): Told {
    const { machines } = own;
    const age = now - own.at;
    // Names never come back, so numbers of machines that are gone are given up now and then.
    if (this.numbers.size > 2 * machines.length + 100) {
      this.numbers.clear();
      for (const { told } of this.peers.values()) told.clear();
    }
    let known = this.peers.get(peer);
    if (known === undefined) this.peers.set(peer, (known = { messageNumber: 0, told: new Map() }));
    const isSnapshot = known.told.size === 0;
    const changed: MachineUpdate[] = [];
    // What finds no room is told next time: a peer closes the link on a message that is larger than it takes.
    let room = MACHINES_IN_GOSSIP_BYTES;
    const unchanged: Told['unchanged'] = { numbers: [], heartbeatAgesMs: [], sequences: [] };
    for (const { news, lasting } of machines) {
      const { machineId } = news;
      let number = this.numbers.get(machineId);
      if (number === undefined) this.numbers.set(machineId, (number = this.next++));
      // A notice runs down all the time.
      if (known.told.get(machineId) === lasting && news.spotNoticeMs === null) {
        unchanged.numbers.push(number);
        unchanged.heartbeatAgesMs.push(Math.round(news.heartbeatAgeMs + age));
        unchanged.sequences.push(news.sequence);
        continue;
      }
      room -= bytesOf(news, lasting);
      if (room < 0) continue;
      known.told.set(machineId, lasting);
      const spotNoticeMs = news.spotNoticeMs === null ? null : news.spotNoticeMs - age;
      changed.push({ ...news, number, heartbeatAgeMs: news.heartbeatAgeMs + age, stateAgeMs: age, spotNoticeMs });
    }
    known.messageNumber++;
    changed.push(...somePassedOn(passedOn, room, known.messageNumber));
    return {
      incarnation: this.incarnation,
      messageNumber: known.messageNumber,
      isSnapshot,
      machines: changed,
      unchanged,
    };
  }
}

/**
 * As many machines of others as there is room for. What is passed on comes and goes, and has no numbers: it is told anew each
 * time, and the turn begins at another machine.
 */
function somePassedOn(passedOn: readonly MachineUpdate[], room: number, turn: number): MachineUpdate[] {
  const chosen: MachineUpdate[] = [];
  const begin = passedOn.length === 0 ? 0 : (turn * FORWARDED_MACHINES_STEP) % passedOn.length;
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
  machine: MachineUpdate;
  heartbeatAgeMs: number;
  sequence: number;
}

/** What the peers have told of their machines so far. */
export class ReceivedMachineUpdates {
  private readonly senders = new Map<
    string,
    { incarnation: number; messageNumber: number; machines: Map<number, MachineUpdate> }
  >();

  /**
   * The machines that a message speaks of: those told in full, and those of which no more than the times is new. `hasGap`: the
   * message builds on something that never came.
   */
  apply({ node, incarnation, messageNumber, isSnapshot, machines, unchanged }: Gossip): {
    machines: MachineUpdate[];
    unchanged: UnchangedMachine[];
    hasGap: boolean;
  } {
    let sender = this.senders.get(node);
    // A message of a former life, or one that a newer has overtaken, says nothing that is not known better.
    if (sender?.incarnation === incarnation && messageNumber <= sender.messageNumber)
      return { machines: [], unchanged: [], hasGap: false };
    const hasGap = !isSnapshot && (sender?.incarnation !== incarnation || messageNumber !== sender.messageNumber + 1);
    if (sender === undefined || isSnapshot || hasGap)
      this.senders.set(node, (sender = { incarnation, messageNumber, machines: new Map() }));
    sender.messageNumber = messageNumber;
    const still: UnchangedMachine[] = [];
    for (const machine of machines) if (machine.number >= 0) sender.machines.set(machine.number, machine);
    for (const [at, number] of unchanged.numbers.entries()) {
      const machine = sender.machines.get(number);
      if (machine !== undefined)
        still.push({ machine, heartbeatAgeMs: unchanged.heartbeatAgesMs[at]!, sequence: unchanged.sequences[at]! });
    }
    return { machines, unchanged: still, hasGap };
  }
}
