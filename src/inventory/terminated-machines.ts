/** Machines that the cloud has confirmed terminated. Machine ids are never used again, so nothing stated of them later counts. */
import { FORGET_MACHINE_MS, TERMINATED_MACHINES_KEPT } from '../constants/inventory.js';

/** Keeps the newest TERMINATED_MACHINES_KEPT ids; times in monotonic ms of this node. */
export class TerminatedMachines {
  private readonly terminatedAt = new Map<string, number>();

  has(machineId: string): boolean {
    return this.terminatedAt.has(machineId);
  }

  /** `now`: when this node learned of the termination. */
  add(machineId: string, now: number): void {
    this.terminatedAt.set(machineId, now);
    if (this.terminatedAt.size <= TERMINATED_MACHINES_KEPT) return;
    const [oldest] = this.terminatedAt.keys();
    this.terminatedAt.delete(oldest!);
  }

  /** The ids that other nodes may not have learned of yet. */
  recent(now: number): string[] {
    return [...this.terminatedAt].filter(([, at]) => now - at < FORGET_MACHINE_MS).map(([machineId]) => machineId);
  }
}
