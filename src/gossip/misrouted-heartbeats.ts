/** Workers that lately sent a heartbeat to a node which does not lead their partition, as the peers' gossip states it. */
import { MISROUTED_HEARTBEAT_VALID_MS } from '../constants/gossip.js';
import type { MisroutedHeartbeat } from './messages.js';

/** All times are monotonic ms of this node's clock. */
export class MisroutedHeartbeats {
  /** When each worker last sent one. */
  private readonly lastSentAt = new Map<string, number>();

  /** Keeps the later of what is known and what is stated. */
  apply(heartbeats: readonly MisroutedHeartbeat[], now: number): void {
    for (const { machineId, ageMs } of heartbeats) {
      this.lastSentAt.set(machineId, Math.max(this.lastSentAtOf(machineId), now - ageMs));
    }
  }

  /** -Infinity: none is known. */
  lastSentAtOf(machineId: string): number {
    return this.lastSentAt.get(machineId) ?? -Infinity;
  }

  /** Those recent enough to count as evidence, to be relayed; the others are forgotten on the way. */
  *recent(now: number): Iterable<MisroutedHeartbeat> {
    for (const [machineId, sentAt] of this.lastSentAt) {
      if (now - sentAt < MISROUTED_HEARTBEAT_VALID_MS) yield { machineId, ageMs: now - sentAt };
      else this.lastSentAt.delete(machineId);
    }
  }
}
