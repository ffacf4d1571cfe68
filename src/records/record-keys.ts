/**
 * The keys of the records in the store. Everything that can still change lives under `live/`, so that one ordered watch keeps a
 * whole copy; final states move to `ended/`, where they never change.
 */
export const LIVE = 'live/';

export const LEADERSHIP_PREFIX = `${LIVE}claim/`;
export const leadershipKey = (role: string): string => `${LEADERSHIP_PREFIX}${role}`;

export const JOB_PREFIX = `${LIVE}job/`;
export const jobKey = (jobId: string): string => `${JOB_PREFIX}${jobId}`;

export const PLACEMENT_PREFIX = `${LIVE}ledger/`;
/** Digits of a chunk's index: keys of one job then stand in the order of their chunks. */
const CHUNK_INDEX_DIGITS = 4;
export const jobPlacementPrefix = (jobId: string): string => `${PLACEMENT_PREFIX}${jobId}/`;
export const placementChunkKey = (jobId: string, chunkIndex: number): string =>
  `${jobPlacementPrefix(jobId)}${String(chunkIndex).padStart(CHUNK_INDEX_DIGITS, '0')}`;

export const teamKey = (team: string): string => `${LIVE}team/${team}`;

export const MACHINE_TYPE_PREFIX = `${LIVE}flavor/`;
export const machineTypeKey = (machineType: string): string =>
  `${MACHINE_TYPE_PREFIX}${encodeURIComponent(machineType)}`;

export const RENTAL_PREFIX = `${LIVE}hire/`;
export const rentalKey = (rentalId: string): string => `${RENTAL_PREFIX}${rentalId}`;

export const FINAL_JOB_PREFIX = 'ended/';
export const finalJobKey = (jobId: string): string => `${FINAL_JOB_PREFIX}${jobId}`;

/** Kept under its store lease by each process that reads the present record format. */
export const formatKey = (node: string): string => `${LIVE}format/node/${node}`;
/** There once all controllers have been seen to read the present record format; never deleted. */
export const FORMAT_COMPLETE_KEY = `${LIVE}format/complete`;

/** Kept under its store lease by each process that reads the warm standby's stream. */
export const standbyKey = (node: string): string => `${LIVE}standby/${node}`;
