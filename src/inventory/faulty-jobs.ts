/** Distinguishes faulty jobs from faulty machines. */
import { FAULTY_JOB_LEAST, FAULTY_JOB_SHARE } from '../constants/inventory.js';
import { QUARANTINE_ERRORS } from '../constants/workers.js';
import type { MachineInfo } from '../domain/machine-state.js';

/**
 * Ends, in the given view, the quarantine of machines that only faulty jobs have failed on. A job that fails on many machines was
 * submitted with a mistake, and its failures say nothing of the machines.
 */
export function clearQuarantineOfFaultyJobs(machines: Map<string, MachineInfo>): void {
  const machinesFailedOn = countMachinesByFailedJob(machines.values());
  const faultyFrom = Math.max(FAULTY_JOB_LEAST, Math.ceil(machines.size * FAULTY_JOB_SHARE));
  for (const [machineId, machine] of machines) {
    if (!machine.isQuarantined) continue;
    const failuresThatCount = machine.failedJobs.filter((jobId) => machinesFailedOn.get(jobId)! < faultyFrom);
    if (failuresThatCount.length < QUARANTINE_ERRORS) machines.set(machineId, { ...machine, isQuarantined: false });
  }
}

function countMachinesByFailedJob(machines: Iterable<MachineInfo>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { failedJobs } of machines) {
    for (const jobId of failedJobs) counts.set(jobId, (counts.get(jobId) ?? 0) + 1);
  }
  return counts;
}
