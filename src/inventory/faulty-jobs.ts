/** Distinguishes faulty jobs from faulty machines. */
import { FAULTY_JOB_SHARE, MIN_FAULTY_JOB_MACHINES } from '../constants/inventory.js';
import { MIN_FAILED_JOBS_FOR_QUARANTINE } from '../constants/workers.js';
import type { MachineInfo } from '../domain/machine-state.js';

/**
 * Clears `isQuarantined`, in the given map, of machines with too few failed jobs other than faulty ones. A job that fails on many
 * machines was submitted with an error, so its failures are no evidence against the machines.
 */
export function clearQuarantineOfFaultyJobs(machines: Map<string, MachineInfo>): void {
  const failedMachineCounts = countMachinesByFailedJob(machines.values());
  const minFaultyMachines = Math.max(MIN_FAULTY_JOB_MACHINES, Math.ceil(machines.size * FAULTY_JOB_SHARE));
  for (const [machineId, machine] of machines) {
    if (!machine.isQuarantined) continue;
    const relevantFailures = machine.failedJobs.filter((jobId) => failedMachineCounts.get(jobId)! < minFaultyMachines);
    if (relevantFailures.length < MIN_FAILED_JOBS_FOR_QUARANTINE)
      machines.set(machineId, { ...machine, isQuarantined: false });
  }
}

function countMachinesByFailedJob(machines: Iterable<MachineInfo>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { failedJobs } of machines) {
    for (const jobId of failedJobs) counts.set(jobId, (counts.get(jobId) ?? 0) + 1);
  }
  return counts;
}
