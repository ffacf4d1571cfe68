/**
 * What each peer has been sent of this node's own machines. Sent in full every second, that would grow with machines times nodes; so a
 * peer gets in full only what has changed, and of the other machines only the last heartbeat, under a short number.
 */
import { FORWARDED_MACHINES_STEP, MACHINES_IN_GOSSIP_BYTES } from '../constants/gossip.js';
import { maxBytesOf, stableContentOf } from './machine-update-content.js';
import type { Gossip, MachineUpdate, UnchangedMachineColumns } from './messages.js';

/** The fields of a gossip message that are composed here. */
export type MachineUpdateFields = Pick<
  Gossip,
  'incarnation' | 'messageNumber' | 'isSnapshot' | 'machines' | 'unchanged'
>;

/** One of the sender's own machines, with the part of it that is compared with what a peer has been sent. */
interface OwnMachine {
  update: MachineUpdate;
  stableContent: string;
}

/** The sender's own machines as they were at one instant, shared by the messages to all peers shortly after. */
export interface OwnMachines {
  /** Monotonic ms. */
  at: number;
  machines: readonly OwnMachine[];
}

/** Prepares the sender's own machines for comparison, once for all peers; `at` in monotonic ms. */
export const describeOwnMachines = (at: number, machines: readonly MachineUpdate[]): OwnMachines => ({
  at,
  machines: machines.map((update) => ({ update, stableContent: stableContentOf(update) })),
});

/** What one peer has been sent so far. */
interface SentToPeer {
  messageNumber: number;
  /** By machine id, the stable content last sent. */
  contents: Map<string, string>;
}

/** The part of a message that is being composed. */
interface Draft {
  changed: MachineUpdate[];
  unchanged: UnchangedMachineColumns;
  bytesLeft: number;
}

/** Numbers without a machine are given up beyond this many, and twice the machines. */
const SPARE_NUMBERS = 100;

/** Composes the machine updates of the gossip to each peer. */
export class SentMachineUpdates {
  private readonly numbers = new Map<string, number>();
  private nextNumber = 0;
  private readonly peers = new Map<string, SentToPeer>();

  /** `incarnation` distinguishes this process from its earlier ones. */
  constructor(private readonly incarnation: number) {}

  /** The peer has missed a message, or may have: the next one to it is a snapshot. */
  requireSnapshot(peer: string): void {
    this.peers.get(peer)?.contents.clear();
  }

  /**
   * The machine updates of the next message to a peer: this node's own machines, then as many of other nodes' (`relayed`) as there is
   * room for. `now` in monotonic ms.
   */
  compose(peer: string, own: OwnMachines, relayed: readonly MachineUpdate[], now: number): MachineUpdateFields {
    this.discardNumbersOfFormerMachines(own.machines.length);
    const sent = this.sentTo(peer);
    const isSnapshot = sent.contents.size === 0;
    const draft: Draft = {
      changed: [],
      unchanged: { numbers: [], heartbeatAgesMs: [], sequences: [] },
      // What doesn't fit is sent next time: a peer closes the connection on a message that is larger than it takes.
      bytesLeft: MACHINES_IN_GOSSIP_BYTES,
    };
    const ageMs = now - own.at;
    for (const machine of own.machines) this.add(draft, machine, sent, ageMs);
    sent.messageNumber++;
    draft.changed.push(...selectRelayed(relayed, draft.bytesLeft, sent.messageNumber));
    return {
      incarnation: this.incarnation,
      messageNumber: sent.messageNumber,
      isSnapshot,
      machines: draft.changed,
      unchanged: draft.unchanged,
    };
  }

  /** `ageMs`: how long ago the machine was described. */
  private add(draft: Draft, { update, stableContent }: OwnMachine, sent: SentToPeer, ageMs: number): void {
    const { machineId, spotNoticeMs } = update;
    const number = this.numberOf(machineId);
    const heartbeatAgeMs = update.heartbeatAgeMs + ageMs;
    // The time left of a spot notice changes all the time.
    if (sent.contents.get(machineId) === stableContent && spotNoticeMs === null) {
      draft.unchanged.numbers.push(number);
      draft.unchanged.heartbeatAgesMs.push(Math.round(heartbeatAgeMs));
      draft.unchanged.sequences.push(update.sequence);
      return;
    }
    draft.bytesLeft -= maxBytesOf(update, stableContent);
    if (draft.bytesLeft < 0) return;
    sent.contents.set(machineId, stableContent);
    draft.changed.push({
      ...update,
      number,
      heartbeatAgeMs,
      stateAgeMs: ageMs,
      spotNoticeMs: spotNoticeMs === null ? null : spotNoticeMs - ageMs,
    });
  }

  /** Machine ids are never used again, so the numbers of terminated machines would otherwise pile up. */
  private discardNumbersOfFormerMachines(machineCount: number): void {
    if (this.numbers.size <= 2 * machineCount + SPARE_NUMBERS) return;
    this.numbers.clear();
    for (const { contents } of this.peers.values()) contents.clear();
  }

  private numberOf(machineId: string): number {
    const known = this.numbers.get(machineId);
    if (known !== undefined) return known;
    const number = this.nextNumber++;
    this.numbers.set(machineId, number);
    return number;
  }

  private sentTo(peer: string): SentToPeer {
    const known = this.peers.get(peer);
    if (known !== undefined) return known;
    const sent: SentToPeer = { messageNumber: 0, contents: new Map() };
    this.peers.set(peer, sent);
    return sent;
  }
}

/**
 * As many machines of other nodes as fit. They come and go, and have no numbers: each message states them in full, and begins at
 * another machine so that all get their turn.
 */
function selectRelayed(relayed: readonly MachineUpdate[], maxBytes: number, turn: number): MachineUpdate[] {
  const selected: MachineUpdate[] = [];
  const start = relayed.length === 0 ? 0 : (turn * FORWARDED_MACHINES_STEP) % relayed.length;
  let bytesLeft = maxBytes;
  for (const update of [...relayed.slice(start), ...relayed.slice(0, start)]) {
    bytesLeft -= maxBytesOf(update, stableContentOf(update));
    if (bytesLeft < 0) break;
    selected.push(update);
  }
  return selected;
}
