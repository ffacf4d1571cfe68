/** The wire form of what users send and are told about jobs, and its translation. */
import * as v from 'valibot';

import { JOB_PRIORITIES, type JobSpec } from '../domain/job.js';
import { decodeJobSpec } from '../records/job-spec-codec.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const orNull = <T extends v.GenericSchema>(schema: T) => v.optional(v.nullable(schema), null);

const MAX_TASKS = 100_000;
const MAX_MACHINE_TYPES = 100;
const MAX_ERROR_CHARACTERS = 300;

/** What a job's id must look like. */
export const JOB_ID = /^j-[A-Za-z0-9._-]{1,100}$/;

/** The order of the fields is the order in which they are stored. */
const JobSchema = v.object({
  Ref: v.pipe(v.string(), v.regex(JOB_ID, 'must look like j-000412')),
  Jobclass: v.pipe(v.string(), v.maxLength(200)),
  Owner: text,
  Shape: v.picklist(['array', 'ensemble', 'service']),
  Rank: v.picklist(JOB_PRIORITIES),
  Shards: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_TASKS)),
  Cpus: positive,
  Cards: amount,
  MemGb: amount,
  Bundle: text,
  SizeGb: amount,
  Flavors: orNull(v.pipe(v.array(text), v.maxLength(MAX_MACHINE_TYPES))),
  Site: orNull(text),
  OneZone: v.boolean(),
  Spread: v.boolean(),
  Reclaimable: v.boolean(),
  GuessS: amount,
  SnapshotEveryS: amount,
  SnapshotS: amount,
  DueS: orNull(amount),
});

/** The jobs that have to be done before; repeated ids count once. */
const DependenciesSchema = v.object({
  Awaits: orNull(v.array(v.pipe(v.string(), v.regex(JOB_ID, 'must name jobs')))),
});

/** A submission that was read, or what is wrong with it. */
export type ParsedSubmission =
  | { ok: true; spec: JobSpec; dependencies: string[] }
  /** `jobId`: the job that it names, if that is readable: should that job be known, nothing else about the submission matters. */
  | { ok: false; error: string; jobId: string | undefined };

/** Reads a submission; unknown fields are ignored. */
export function parseSubmission(body: unknown): ParsedSubmission {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    return { ok: false, error: 'not an object', jobId: undefined };
  }
  const job = v.safeParse(JobSchema, body);
  const dependencies = v.safeParse(DependenciesSchema, body);
  if (job.success && dependencies.success) {
    return { ok: true, spec: decodeJobSpec(job.output), dependencies: [...new Set(dependencies.output.Awaits)] };
  }
  const issue = (job.issues ?? dependencies.issues)![0];
  const { Ref: id } = body as { Ref?: unknown };
  return {
    ok: false,
    error: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`.slice(0, MAX_ERROR_CHARACTERS),
    jobId: typeof id === 'string' && JOB_ID.test(id) ? id : undefined,
  };
}

/** What a user is told of a job. */
export interface JobStatus {
  jobId: string;
  state: 'queued' | 'running' | 'done' | 'cancelled';
  /** Tasks that are done, and tasks that are on a machine; for display. */
  done: number;
  running: number;
}

const PHASE_OF_STATE: Record<JobStatus['state'], string> = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

/** The answer to a poll, or to a submission of a known job. */
export const encodeJobStatus = ({ jobId, state, done, running }: JobStatus): unknown => ({
  Ref: jobId,
  Phase: PHASE_OF_STATE[state],
  done,
  running,
});

/** The answer to a submission or a cancellation: the state alone. */
export const encodeJobState = ({ jobId, state }: Pick<JobStatus, 'jobId' | 'state'>): unknown => ({
  Ref: jobId,
  Phase: PHASE_OF_STATE[state],
});
