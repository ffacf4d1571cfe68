/**
 * Keys of the records in the store. All records that can still change are under `live/`, so that one ordered watch keeps a
 * replica of them up to date; final records are under `ended/` and never change.
 */
import { keyOfEncodedName, keyOfName } from './name-keys.js';

/** Prefix of the records that the replica holds. */
export const LIVE_PREFIX = 'live/';

/** The leader of each role. */
export const LEADERSHIP_PREFIX = `${LIVE_PREFIX}claim/`;
export const leadershipKey = (role: string): string => `${LEADERSHIP_PREFIX}${role}`;

/** Jobs that have not ended. */
export const JOB_PREFIX = `${LIVE_PREFIX}job/`;
export const jobKey = (jobId: string): string => `${JOB_PREFIX}${jobId}`;

/** Task placements, in chunks of consecutive tasks of one job. */
export const PLACEMENT_PREFIX = `${LIVE_PREFIX}ledger/`;
/** Chunk indexes are padded to this many digits, so that the keys of a job's chunks sort by index. */
const CHUNK_INDEX_DIGITS = 4;
export const jobPlacementPrefix = (jobId: string): string => `${PLACEMENT_PREFIX}${jobId}/`;
export const placementChunkKey = (jobId: string, chunkIndex: number): string =>
  `${jobPlacementPrefix(jobId)}${String(chunkIndex).padStart(CHUNK_INDEX_DIGITS, '0')}`;

/** Recorded usage of a team. */
export const teamKey = (team: string): string => keyOfName(`${LIVE_PREFIX}team`, team);

/** Machine types of the cloud's catalog. */
export const MACHINE_TYPE_PREFIX = `${LIVE_PREFIX}flavor/`;
export const machineTypeKey = (machineType: string): string => keyOfEncodedName(MACHINE_TYPE_PREFIX, machineType);

/** Requests to rent machines. */
export const RENTAL_PREFIX = `${LIVE_PREFIX}hire/`;
export const rentalKey = (rentalId: string): string => `${RENTAL_PREFIX}${rentalId}`;

/** Jobs that have ended. */
export const FINAL_JOB_PREFIX = 'ended/';
export const finalJobKey = (jobId: string): string => `${FINAL_JOB_PREFIX}${jobId}`;

/** Announces that the node's process reads the current record format; attached to the process's store lease. */
export const formatKey = (node: string): string => keyOfName(`${LIVE_PREFIX}format/node`, node);
/** Exists once all controllers have announced in one transaction that they read the current record format; never deleted. */
export const FORMAT_COMPLETE_KEY = `${LIVE_PREFIX}format/complete`;

/** Announces that the node's process reads the warm standby's stream; attached to the process's store lease. */
export const standbyKey = (node: string): string => keyOfName(`${LIVE_PREFIX}standby`, node);
