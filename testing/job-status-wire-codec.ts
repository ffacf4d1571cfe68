/** What users are told of a job: the wire names, and their translation. */

/** The state of a job; other words of a controller stay as they are. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** What a user is told of a job; the answers to submissions and cancellations lack the counts. */
export interface JobStatus {
  id: string;
  state: JobState;
  done: number;
  running: number;
}

const WIRE_CANCELLED = 'withdrawn';

const decodeState = (wire: string): JobState => (wire === WIRE_CANCELLED ? 'cancelled' : (wire as JobState));

/** The state that an answer tells; undefined: it tells none. */
export function decodeJobState(body: unknown): JobState | undefined {
  const wire = (body as { Phase?: string } | undefined)?.Phase;
  return wire === undefined ? undefined : decodeState(wire);
}

interface WireJobStatus {
  Ref: string;
  Phase: string;
  done: number;
  running: number;
}

export function decodeJobStatus(body: unknown): JobStatus {
  const { Ref: id, Phase, ...counts } = body as WireJobStatus;
  return { id, state: decodeState(Phase), ...counts };
}

/** The answer in which a user is told a job's state, for tests of those who read it. */
export const encodeJobState = (id: string, state: JobState): object => ({
  Ref: id,
  Phase: state === 'cancelled' ? WIRE_CANCELLED : state,
});
