/** Stores which workers recently sent a heartbeat to a node that does not lead their partition, as reported by the peers' gossip. */
import { MISROUTED_HEARTBEAT_VALID_MS } from '../constants/gossip.js';
import type { MisroutedHeartbeat } from './messages.js';

/** The last misrouted heartbeat of each worker. All times are monotonic ms of this node's clock. */
export class MisroutedHeartbeats {
  /** When each worker last sent a misrouted heartbeat, by machine id. */
  private readonly lastSentAt = new Map<string, number>();

  /** Stores the reported heartbeats that are newer than the stored ones. */
  apply(heartbeats: readonly MisroutedHeartbeat[], now: number): void {
    for (const { machineId, ageMs } of heartbeats) {
      this.lastSentAt.set(machineId, Math.max(this.lastSentAtOf(machineId), now - ageMs));
    }
  }

  /** Returns -Infinity if no misrouted heartbeat of the worker is known. */
  lastSentAtOf(machineId: string): number {
    return this.lastSentAt.get(machineId) ?? -Infinity;
  }

  /** The heartbeats recent enough to show that the worker is alive. Older ones are deleted during the iteration. */
  *recent(now: number): Iterable<MisroutedHeartbeat> {
    for (const [machineId, sentAt] of this.lastSentAt) {
      if (now - sentAt < MISROUTED_HEARTBEAT_VALID_MS) yield { machineId, ageMs: now - sentAt };
      else this.lastSentAt.delete(machineId);
    }
  }
}
