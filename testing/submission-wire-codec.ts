/** The wire format of job submissions: its wire names and their translation. */
import type { JobKind, JobSpec } from '../src/domain/job.js';

type OptionalField = 'machineTypes' | 'zone' | 'deadlineS';

/** A job as its user submits it. */
export interface Submission
  extends Omit<JobSpec, OptionalField | 'reportBytes'>, Partial<Pick<JobSpec, OptionalField>> {
  /** Jobs that must be done before this one starts. */
  dependencies?: readonly string[] | null;
}

/** Some fields of a submission, possibly with invalid values. */
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

/** Encodes a body or a part of it; keeps the order of the fields. */
export function encodeSubmission(fields: AnySubmissionFields): object {
  const given = Object.entries(fields) as [keyof Submission, unknown][];
  return Object.fromEntries(given.map(([name, value]) => [WIRE_NAMES[name], encodeValue(name, value)]));
}

/** Decodes the fields of a body without validation; absent fields stay absent. */
export function decodeSubmission(body: unknown): Submission {
  const wire = Object(body) as Record<string, unknown>;
  const known = fieldNames.filter((name) => Object.hasOwn(wire, WIRE_NAMES[name]));
  return Object.fromEntries(
    known.map((name) => [name, decodeValue(name, wire[WIRE_NAMES[name]])]),
  ) as unknown as Submission;
}

/** The job id in a body, however malformed the rest is; undefined if there is none. */
export function decodeSubmittedId(body: unknown): string | undefined {
  const id = (body as { Ref?: unknown } | null)?.Ref;
  return typeof id === 'string' ? id : undefined;
}
