/**
 * The keys of the records in the store. Everything that can still change lives under `live/`, so that one ordered watch keeps a
 * whole replica up; final records move to `ended/`, where they never change.
 */

/** Prefix of the records that the replica holds. */
export const LIVE_PREFIX = 'live/';

/** Who leads a role. */
export const LEADERSHIP_PREFIX = `${LIVE_PREFIX}claim/`;
export const leadershipKey = (role: string): string => `${LEADERSHIP_PREFIX}${role}`;

/** Jobs that are not over. */
export const JOB_PREFIX = `${LIVE_PREFIX}job/`;
export const jobKey = (jobId: string): string => `${JOB_PREFIX}${jobId}`;

/** Task placements, in chunks of consecutive tasks of one job. */
export const PLACEMENT_PREFIX = `${LIVE_PREFIX}ledger/`;
/** Digits of a chunk's index, so that the keys of one job are ordered as its chunks are. */
const CHUNK_INDEX_DIGITS = 4;
export const jobPlacementPrefix = (jobId: string): string => `${PLACEMENT_PREFIX}${jobId}/`;
export const placementChunkKey = (jobId: string, chunkIndex: number): string =>
  `${jobPlacementPrefix(jobId)}${String(chunkIndex).padStart(CHUNK_INDEX_DIGITS, '0')}`;

/** A team's usage. */
export const teamKey = (team: string): string => `${LIVE_PREFIX}team/${team}`;

/** The catalog's machine types. */
export const MACHINE_TYPE_PREFIX = `${LIVE_PREFIX}flavor/`;
export const machineTypeKey = (machineType: string): string =>
  `${MACHINE_TYPE_PREFIX}${encodeURIComponent(machineType)}`;

/** Requests for machines. */
export const RENTAL_PREFIX = `${LIVE_PREFIX}hire/`;
export const rentalKey = (rentalId: string): string => `${RENTAL_PREFIX}${rentalId}`;

/** Jobs that are over. */
export const FINAL_JOB_PREFIX = 'ended/';
export const finalJobKey = (jobId: string): string => `${FINAL_JOB_PREFIX}${jobId}`;

/** Attached to the store lease of each process that reads the present record format. */
export const formatKey = (node: string): string => `${LIVE_PREFIX}format/node/${node}`;
/** Exists once all controllers have been seen to read the present record format; never deleted. */
export const FORMAT_COMPLETE_KEY = `${LIVE_PREFIX}format/complete`;

/** Attached to the store lease of each process that reads the warm standby's stream. */
export const standbyKey = (node: string): string => `${LIVE_PREFIX}standby/${node}`;
