/** The wire format of answers about a job: its wire names and their translation. */

/** The state of a job; unknown wire values are kept unchanged. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** The status of a job; answers to submissions and cancellations lack the counts. */
export interface JobStatus {
  id: string;
  state: JobState;
  done: number;
  running: number;
}

const WIRE_CANCELLED = 'withdrawn';

const decodeState = (wire: string): JobState => (wire === WIRE_CANCELLED ? 'cancelled' : (wire as JobState));

/** The job state in an answer; undefined if it has none. */
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

/** An answer with a job's state, for tests of code that reads such answers. */
export const encodeJobState = (id: string, state: JobState): object => ({
  Ref: id,
  Phase: state === 'cancelled' ? WIRE_CANCELLED : state,
});
