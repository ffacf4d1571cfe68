/** Gossip for controllers of earlier versions, which reject a message with any count above 2^53. */
import type { Count } from '../domain/count.js';
import { LARGEST_LONG } from './avro-count.js';
import type { Gossip, MachineUpdate } from './messages.js';

const isLarge = (count: Count): boolean => count > LARGEST_LONG;

/**
 * The count, or the largest one that they decode. For a sequence number, from which they tell late heartbeats, that means that they
 * take none of the larger ones for late.
 */
const largestReadable = (count: Count): Count => (isLarge(count) ? LARGEST_LONG : count);

const withReadableSequence = (machine: MachineUpdate): MachineUpdate => ({
  ...machine,
  sequence: largestReadable(machine.sequence),
});

/** Whether the gossip names a machine that `withoutLargeCounts` leaves out. */
export const hasLargeAgentEpoch = ({ machines }: Gossip): boolean =>
  machines.some(({ agentEpoch }) => isLarge(agentEpoch));

/**
 * The same gossip without counts above 2^53. Machines whose agent epoch is larger are left out: placements with another epoch would
 * not be valid there.
 */
export const withoutLargeCounts = (gossip: Gossip): Gossip => ({
  ...gossip,
  machines: gossip.machines.filter(({ agentEpoch }) => !isLarge(agentEpoch)).map(withReadableSequence),
  unchanged: { ...gossip.unchanged, sequences: gossip.unchanged.sequences.map(largestReadable) },
});
