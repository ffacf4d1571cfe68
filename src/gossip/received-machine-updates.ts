/** What the peers have sent of their machines so far, by which the short form of their later messages is understood. */
import type { Gossip, MachineUpdate, UnchangedMachineColumns } from './messages.js';

/** A machine of which nothing has changed since its last full update but these. */
export interface UnchangedMachine {
  /** As of its last full update. */
  machine: MachineUpdate;
  heartbeatAgeMs: number;
  sequence: number;
}

/** The machines of one message. */
export interface AppliedMachineUpdates {
  /** Those stated in full. */
  machines: MachineUpdate[];
  unchanged: UnchangedMachine[];
  /** The message builds on one that was not received. */
  hasGap: boolean;
}

interface ReceivedFromPeer {
  incarnation: number;
  messageNumber: number;
  /** By the number that the peer has assigned. */
  machines: Map<number, MachineUpdate>;
}

/** Resolves the machine updates of each message by those before it. */
export class ReceivedMachineUpdates {
  private readonly peers = new Map<string, ReceivedFromPeer>();

  /**
   * The machines of a message. After a gap, nothing is known by number until the next full update of a machine: an unchanged machine
   * whose full update was missed must not be believed to be as it was before.
   */
  apply(gossip: Gossip): AppliedMachineUpdates {
    const known = this.peers.get(gossip.node);
    // A message that a newer one of the same incarnation has overtaken states nothing that is not known better.
    if (known?.incarnation === gossip.incarnation && gossip.messageNumber <= known.messageNumber)
      return { machines: [], unchanged: [], hasGap: false };
    const hasGap = !gossip.isSnapshot && !isNext(gossip, known);
    const peer = known === undefined || gossip.isSnapshot || hasGap ? this.startAnew(gossip) : known;
    peer.messageNumber = gossip.messageNumber;
    for (const machine of gossip.machines) {
      if (machine.number >= 0) peer.machines.set(machine.number, machine);
    }
    return { machines: gossip.machines, unchanged: resolveUnchanged(gossip.unchanged, peer.machines), hasGap };
  }

  private startAnew({ node, incarnation, messageNumber }: Gossip): ReceivedFromPeer {
    const peer: ReceivedFromPeer = { incarnation, messageNumber, machines: new Map() };
    this.peers.set(node, peer);
    return peer;
  }
}

const isNext = ({ incarnation, messageNumber }: Gossip, known: ReceivedFromPeer | undefined): boolean =>
  known?.incarnation === incarnation && messageNumber === known.messageNumber + 1;

function resolveUnchanged(
  { numbers, heartbeatAgesMs, sequences }: UnchangedMachineColumns,
  machines: ReadonlyMap<number, MachineUpdate>,
): UnchangedMachine[] {
  const unchanged: UnchangedMachine[] = [];
  for (const [index, number] of numbers.entries()) {
    const machine = machines.get(number);
    if (machine === undefined) continue;
    unchanged.push({ machine, heartbeatAgeMs: heartbeatAgesMs[index]!, sequence: sequences[index]! });
  }
  return unchanged;
}
