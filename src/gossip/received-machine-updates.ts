/** Stores the machine updates received from each peer, to resolve the machine numbers in its later messages. */
import type { Count } from '../domain/count.js';
import type { Gossip, MachineUpdate, UnchangedMachineColumns } from './messages.js';

/** A machine of which only these fields have changed since its last full update. */
export interface UnchangedMachine {
  /** The last full update. */
  machine: MachineUpdate;
  heartbeatAgeMs: number;
  sequence: Count;
}

/** The machine updates of one message. */
export interface AppliedMachineUpdates {
  /** Full updates. */
  machines: MachineUpdate[];
  unchanged: UnchangedMachine[];
  /** The message builds on an earlier one that was not received. */
  hasGap: boolean;
}

interface ReceivedFromPeer {
  incarnation: number;
  messageNumber: number;
  /** The last full updates by the number that the peer has assigned to the machine. */
  machines: Map<number, MachineUpdate>;
}

/** Resolves the machine updates of each message with the help of the earlier messages. */
export class ReceivedMachineUpdates {
  private readonly receivedByPeer = new Map<string, ReceivedFromPeer>();

  /**
   * Returns the machine updates of a message. After a gap, a number is unknown until the machine's next full update: the missed
   * message may have contained a full update, so the state stored before must not be taken for unchanged.
   */
  apply(gossip: Gossip): AppliedMachineUpdates {
    const known = this.receivedByPeer.get(gossip.node);
    // A message older than the last one of the same incarnation contains only outdated state.
    if (known?.incarnation === gossip.incarnation && gossip.messageNumber <= known.messageNumber)
      return { machines: [], unchanged: [], hasGap: false };
    const hasGap = !gossip.isSnapshot && !isNext(gossip, known);
    const peer = known === undefined || gossip.isSnapshot || hasGap ? this.resetPeer(gossip) : known;
    peer.messageNumber = gossip.messageNumber;
    for (const machine of gossip.machines) {
      if (machine.number >= 0) peer.machines.set(machine.number, machine);
    }
    return { machines: gossip.machines, unchanged: resolveUnchanged(gossip.unchanged, peer.machines), hasGap };
  }

  private resetPeer({ node, incarnation, messageNumber }: Gossip): ReceivedFromPeer {
    const peer: ReceivedFromPeer = { incarnation, messageNumber, machines: new Map() };
    this.receivedByPeer.set(node, peer);
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
