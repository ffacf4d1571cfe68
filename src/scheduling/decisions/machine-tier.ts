/** What speaks against a machine whatever its distance. */
import { FETCH_TIER_S, GPU_TIER } from '../../constants/scheduling.js';
import type { JobSpec } from '../../domain/job.js';
import type { MachineType } from '../../domain/machine-type.js';

/** Seconds to fetch the image; where the speed is unknown, 1 GB/s is assumed. */
function fetchTimeS(imageGb: number, machineType: MachineType | undefined): number {
  const fetchGbPerS = machineType?.fetchGbPerS ?? 0;
  return fetchGbPerS > 0 ? imageGb / fetchGbPerS : imageGb;
}

/**
 * The tier of a machine for a job, the lowest is preferred. `machineType` is undefined where the catalog does not have it;
 * `imageBonus` is what a cached image counts. Called for each machine of each matching: it allocates nothing.
 */
export function machineTierOf(
  spec: JobSpec,
  images: readonly string[],
  machineType: MachineType | undefined,
  imageBonus: number,
): number {
  const fetchS = fetchTimeS(spec.imageGb, machineType);
  const imageTier = images.includes(spec.image) ? 0 : imageBonus * (1 + fetchS / FETCH_TIER_S);
  // GPUs are scarce: what needs none leaves their machines to what does.
  const wastesGpus = spec.gpus === 0 && (machineType?.gpus ?? 0) > 0;
  return wastesGpus ? imageTier + GPU_TIER : imageTier;
}
