/**
 * Composes the machine updates for each peer from what it has been sent before. Sending every machine in full every second would
 * cost bytes in proportion to machines times nodes; so only changed machines are sent in full, and the others as a short number with
 * the last heartbeat.
 */
import { MACHINES_IN_GOSSIP_BYTES, RELAYED_MACHINES_STEP } from '../constants/gossip.js';
import { maxBytesOf, stableContentOf } from './machine-update-content.js';
import type { Gossip, MachineUpdate, UnchangedMachineColumns } from './messages.js';

/** The fields of a gossip message that are composed here. */
export type MachineUpdateFields = Pick<
  Gossip,
  'incarnation' | 'messageNumber' | 'isSnapshot' | 'machines' | 'unchanged'
>;

/** One of the sender's own machines, with the text that is compared with the one last sent to a peer. */
interface OwnMachineSummary {
  update: MachineUpdate;
  stableContent: string;
}

/** The sender's own machines at one point in time, shared by the messages to all peers shortly afterwards. */
export interface OwnMachineSummaries {
  /** Monotonic ms. */
  describedAt: number;
  machines: readonly OwnMachineSummary[];
}

/** Prepares the sender's own machines for comparison, once for all peers. `describedAt` is in monotonic ms. */
export const describeOwnMachines = (describedAt: number, machines: readonly MachineUpdate[]): OwnMachineSummaries => ({
  describedAt,
  machines: machines.map((update) => ({ update, stableContent: stableContentOf(update) })),
});

/** What one peer has been sent so far. */
interface SentToPeer {
  messageNumber: number;
  /** The stable content last sent, by machine id. */
  stableContents: Map<string, string>;
}

/** The part of a message that is being composed. */
interface MachineUpdateDraft {
  changed: MachineUpdate[];
  unchanged: UnchangedMachineColumns;
  bytesLeft: number;
}

/** Age in ms sent for a machine without a heartbeat, in place of infinity. */
const MAX_HEARTBEAT_AGE_MS = 1e12;

/** All numbers are discarded when they exceed twice the count of machines by more than this. */
const MAX_SPARE_NUMBERS = 100;

/** Composes the machine updates of the gossip to each peer. */
export class SentMachineUpdates {
  private readonly machineNumbers = new Map<string, number>();
  private nextNumber = 0;
  private readonly sentByPeer = new Map<string, SentToPeer>();

  /** `incarnation` distinguishes this process from earlier processes of the node. */
  constructor(private readonly incarnation: number) {}

  /** Makes the next message to a peer a snapshot, because the peer has or may have missed a message. */
  requireSnapshot(peer: string): void {
    this.sentByPeer.get(peer)?.stableContents.clear();
  }

  /**
   * Returns the machine updates of the next message to a peer: this node's own machines, then as many machines of other nodes
   * (`relayed`) as fit. `now` is in monotonic ms.
   */
  compose(peer: string, own: OwnMachineSummaries, relayed: readonly MachineUpdate[], now: number): MachineUpdateFields {
    this.discardUnusedNumbers(own.machines.length);
    const sent = this.sentTo(peer);
    const isSnapshot = sent.stableContents.size === 0;
    const draft: MachineUpdateDraft = {
      changed: [],
      unchanged: { numbers: [], heartbeatAgesMs: [], sequences: [] },
      // Updates that don't fit are sent in the next message: a peer closes the connection on a message over its size limit.
      bytesLeft: MACHINES_IN_GOSSIP_BYTES,
    };
    const ageMs = now - own.describedAt;
    for (const machine of own.machines) this.addOwnMachine(draft, machine, sent, ageMs);
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

  /** `ageMs` is the time since the machine was described. */
  private addOwnMachine(
    draft: MachineUpdateDraft,
    { update, stableContent }: OwnMachineSummary,
    sent: SentToPeer,
    ageMs: number,
  ): void {
    const { machineId, spotNoticeMs } = update;
    const number = this.numberOf(machineId);
    const heartbeatAgeMs = update.heartbeatAgeMs + ageMs;
    // The remaining time of a spot notice changes constantly, so such a machine is always sent in full.
    if (sent.stableContents.get(machineId) === stableContent && spotNoticeMs === null) {
      draft.unchanged.numbers.push(number);
      draft.unchanged.heartbeatAgesMs.push(Math.min(Math.round(heartbeatAgeMs), MAX_HEARTBEAT_AGE_MS));
      draft.unchanged.sequences.push(update.sequence);
      return;
    }
    draft.bytesLeft -= maxBytesOf(update, stableContent);
    if (draft.bytesLeft < 0) return;
    sent.stableContents.set(machineId, stableContent);
    draft.changed.push({
      ...update,
      number,
      heartbeatAgeMs,
      stateAgeMs: ageMs,
      spotNoticeMs: spotNoticeMs === null ? null : spotNoticeMs - ageMs,
    });
  }

  /** Machine ids are never reused, so the numbers of terminated machines would otherwise accumulate. */
  private discardUnusedNumbers(machineCount: number): void {
    if (this.machineNumbers.size <= 2 * machineCount + MAX_SPARE_NUMBERS) return;
    this.machineNumbers.clear();
    for (const { stableContents } of this.sentByPeer.values()) stableContents.clear();
  }

  private numberOf(machineId: string): number {
    const known = this.machineNumbers.get(machineId);
    if (known !== undefined) return known;
    const number = this.nextNumber++;
    this.machineNumbers.set(machineId, number);
    return number;
  }

  private sentTo(peer: string): SentToPeer {
    const known = this.sentByPeer.get(peer);
    if (known !== undefined) return known;
    const sent: SentToPeer = { messageNumber: 0, stableContents: new Map() };
    this.sentByPeer.set(peer, sent);
    return sent;
  }
}

/**
 * Selects as many machines of other nodes as fit. Which machines are relayed changes often, so they have no numbers: each message
 * contains them in full, and starts at a different machine so that each machine is sent eventually.
 */
function selectRelayed(relayed: readonly MachineUpdate[], maxBytes: number, messageNumber: number): MachineUpdate[] {
  const selected: MachineUpdate[] = [];
  const start = relayed.length === 0 ? 0 : (messageNumber * RELAYED_MACHINES_STEP) % relayed.length;
  let bytesLeft = maxBytes;
  for (const update of [...relayed.slice(start), ...relayed.slice(0, start)]) {
    bytesLeft -= maxBytesOf(update, stableContentOf(update));
    if (bytesLeft < 0) break;
    selected.push(update);
  }
  return selected;
}
