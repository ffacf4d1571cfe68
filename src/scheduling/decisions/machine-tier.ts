/** Tiers of machines: disadvantages that outweigh the distance in preference lists. */
import { FETCH_TIER_S, GPU_TIER } from '../../constants/scheduling.js';
import type { JobSpec } from '../../domain/job.js';
import type { MachineType } from '../../domain/machine-type.js';

/** Seconds to fetch the image; an unknown fetch rate is taken as 1 GB/s. */
function fetchTimeS(imageGb: number, machineType: MachineType | undefined): number {
  const fetchGbPerS = machineType?.fetchGbPerS ?? 0;
  return fetchGbPerS > 0 ? imageGb / fetchGbPerS : imageGb;
}

/**
 * The tier of a machine for a job; the lowest is preferred. `machineType` is undefined if it is not in the catalog; `imageBonus`
 * is the weight of a cached image. It is called for each machine in each matching and therefore allocates nothing.
 */
export function machineTierOf(
  spec: JobSpec,
  images: readonly string[],
  machineType: MachineType | undefined,
  imageBonus: number,
): number {
  const fetchS = fetchTimeS(spec.imageGb, machineType);
  const imageTier = images.includes(spec.image) ? 0 : imageBonus * (1 + fetchS / FETCH_TIER_S);
  // GPUs are scarce, so tasks without GPUs avoid GPU machines.
  const wastesGpus = spec.gpus === 0 && (machineType?.gpus ?? 0) > 0;
  return wastesGpus ? imageTier + GPU_TIER : imageTier;
}
