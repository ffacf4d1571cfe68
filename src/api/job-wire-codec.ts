/** The wire format of submissions and job states, and its decoding and encoding. */
import * as v from 'valibot';

import { MAX_TASKS_PER_JOB } from '../constants/protocol.js';
import { JOB_PRIORITIES, type JobSpec } from '../domain/job.js';
import { decodeJobSpec } from '../records/job-spec-codec.js';

const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
const positiveNumber = v.pipe(v.number(), v.finite(), v.gtValue(0));
const nonEmptyText = v.pipe(v.string(), v.minLength(1));
const nullish = <T extends v.GenericSchema>(schema: T) => v.optional(v.nullable(schema), null);

const MAX_MACHINE_TYPES = 100;
const MAX_ERROR_CHARACTERS = 300;

/** The syntax of job ids. */
export const JOB_ID_PATTERN = /^j-[A-Za-z0-9._-]{1,100}$/;

/** The order of the fields is the order in which they are stored. */
const JobSchema = v.object({
  Ref: v.pipe(v.string(), v.regex(JOB_ID_PATTERN, 'must look like j-000412')),
  Jobclass: v.string(),
  Owner: nonEmptyText,
  Shape: v.picklist(['array', 'ensemble', 'service']),
  Rank: v.picklist(JOB_PRIORITIES),
  Shards: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_TASKS_PER_JOB)),
  Cpus: positiveNumber,
  Cards: nonNegativeNumber,
  MemGb: nonNegativeNumber,
  Bundle: nonEmptyText,
  SizeGb: nonNegativeNumber,
  Flavors: nullish(v.pipe(v.array(nonEmptyText), v.maxLength(MAX_MACHINE_TYPES))),
  Site: nullish(nonEmptyText),
  OneZone: v.boolean(),
  Spread: v.boolean(),
  Reclaimable: v.boolean(),
  GuessS: nonNegativeNumber,
  SnapshotEveryS: nonNegativeNumber,
  SnapshotS: nonNegativeNumber,
  DueS: nullish(nonNegativeNumber),
});

/** The jobs that must be done before this one starts; repeated ids count once. */
const DependenciesSchema = v.object({
  Awaits: nullish(v.array(v.pipe(v.string(), v.regex(JOB_ID_PATTERN, 'must name jobs')))),
});

/** A decoded submission, or the first error in it. */
export type ParsedSubmission =
  | { kind: 'valid'; spec: JobSpec; dependencies: string[] }
  /** `jobId`: the job's id, if that is valid: if the job is already known, the other errors do not matter. */
  | { kind: 'malformed'; error: string; jobId: string | undefined };

/** Decodes a submission; unknown fields are ignored. */
export function parseSubmission(body: unknown): ParsedSubmission {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    return { kind: 'malformed', error: 'not an object', jobId: undefined };
  }
  const job = v.safeParse(JobSchema, body);
  const dependencies = v.safeParse(DependenciesSchema, body);
  if (job.success && dependencies.success) {
    return { kind: 'valid', spec: decodeJobSpec(job.output), dependencies: [...new Set(dependencies.output.Awaits)] };
  }
  const issue = (job.issues ?? dependencies.issues)![0];
  const { Ref: id } = body as { Ref?: unknown };
  return {
    kind: 'malformed',
    error: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`.slice(0, MAX_ERROR_CHARACTERS),
    jobId: typeof id === 'string' && JOB_ID_PATTERN.test(id) ? id : undefined,
  };
}

/** The status of a job as reported to users. */
export interface JobStatus {
  jobId: string;
  state: 'queued' | 'running' | 'done' | 'cancelled';
  /** Number of tasks that are done, and of tasks that are placed on a machine; for display only. */
  done: number;
  running: number;
}

const PHASE_OF_STATE: Record<JobStatus['state'], string> = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

/** The response to a poll, or to the submission of a known job. */
export const encodeJobStatus = ({ jobId, state, done, running }: JobStatus): unknown => ({
  Ref: jobId,
  Phase: PHASE_OF_STATE[state],
  done,
  running,
});

/** The response to the submission of a new job, or to a cancellation: only the state. */
export const encodeJobState = ({ jobId, state }: Pick<JobStatus, 'jobId' | 'state'>): unknown => ({
  Ref: jobId,
  Phase: PHASE_OF_STATE[state],
});
