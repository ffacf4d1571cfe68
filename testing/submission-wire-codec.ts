/** Submissions of jobs as users send them: the wire names, and their translation. */
import type { JobKind, JobSpec } from '../src/domain/job.js';

type OptionalField = 'machineTypes' | 'zone' | 'deadlineS';

/** A job as its user describes it. */
export interface Submission extends Omit<JobSpec, OptionalField>, Partial<Pick<JobSpec, OptionalField>> {
  /** Jobs that have to be done before. */
  dependencies?: readonly string[] | null;
}

/** Some fields of a submission, also with values that no controller accepts. */
export type AnySubmissionFields = { [K in keyof Submission]?: unknown };

const WIRE_NAMES: Record<keyof Submission, string> = {
  id: 'Ref',
  jobClass: 'Jobclass',
  team: 'Owner',
  kind: 'Shape',
  priority: 'Rank',
  taskCount: 'Shards',
  cpus: 'Cpus',
  gpus: 'Cards',
  memoryGb: 'MemGb',
  image: 'Bundle',
  imageGb: 'SizeGb',
  machineTypes: 'Flavors',
  zone: 'Site',
  singleZone: 'OneZone',
  spreadAcrossZones: 'Spread',
  allowsSpot: 'Reclaimable',
  estimatedRunS: 'GuessS',
  checkpointIntervalS: 'SnapshotEveryS',
  checkpointS: 'SnapshotS',
  deadlineS: 'DueS',
  dependencies: 'Awaits',
};

const WIRE_KINDS: Record<JobKind, string> = { array: 'array', gang: 'ensemble', service: 'service' };

const encodeValue = (name: keyof Submission, value: unknown): unknown =>
  name === 'kind' && Object.hasOwn(WIRE_KINDS, value as PropertyKey) ? WIRE_KINDS[value as JobKind] : value;

const decodeValue = (name: keyof Submission, value: unknown): unknown =>
  name === 'kind' && value === WIRE_KINDS.gang ? 'gang' : value;

const fieldNames = Object.keys(WIRE_NAMES) as (keyof Submission)[];

/** The body, or part of it, with its fields in the order in which they are given. */
export function encodeSubmission(fields: AnySubmissionFields): object {
  const given = Object.entries(fields) as [keyof Submission, unknown][];
  return Object.fromEntries(given.map(([name, value]) => [WIRE_NAMES[name], encodeValue(name, value)]));
}

/** The fields of a body as they stand, unchecked; those that it lacks are left out. */
export function decodeSubmission(body: unknown): Submission {
  const wire = Object(body) as Record<string, unknown>;
  const known = fieldNames.filter((name) => Object.hasOwn(wire, WIRE_NAMES[name]));
  return Object.fromEntries(
    known.map((name) => [name, decodeValue(name, wire[WIRE_NAMES[name]])]),
  ) as unknown as Submission;
}

/** The job that a body speaks of, whatever else is in it; undefined: none. */
export function decodeSubmittedId(body: unknown): string | undefined {
  const id = (body as { Ref?: unknown } | null)?.Ref;
  return typeof id === 'string' ? id : undefined;
}
