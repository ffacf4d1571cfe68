/** Machines that the cloud has confirmed terminated. Machine ids are never reused, so later reports about them are ignored. */
import { FORGET_MACHINE_MS, TERMINATED_MACHINES_KEPT } from '../constants/inventory.js';

/** Stores the TERMINATED_MACHINES_KEPT ids added last. Times are monotonic ms of this node. */
export class TerminatedMachines {
  private readonly terminatedAt = new Map<string, number>();

  has(machineId: string): boolean {
    return this.terminatedAt.has(machineId);
  }

  /** `now` is the time at which this node learned of the termination. */
  add(machineId: string, now: number): void {
    this.terminatedAt.set(machineId, now);
    if (this.terminatedAt.size <= TERMINATED_MACHINES_KEPT) return;
    const [oldest] = this.terminatedAt.keys();
    this.terminatedAt.delete(oldest!);
  }

  /** The ids added within FORGET_MACHINE_MS, which other nodes may not know yet. */
  recent(now: number): string[] {
    return [...this.terminatedAt].filter(([, at]) => now - at < FORGET_MACHINE_MS).map(([machineId]) => machineId);
  }
}
