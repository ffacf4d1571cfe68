import * as v from 'valibot';
import type { Team } from '../config/settings.js';
import { RANKS, type JobSpec } from '../ledger/records.js';
import { fits, quotaAllows } from '../ledger/rules.js';
import type { Flavor } from '../controller/fleet.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const orNull = <T extends v.GenericSchema>(schema: T) => v.optional(v.nullable(schema), null);

export const REF = /^j-[A-Za-z0-9._-]{1,100}$/;

const SpecSchema = v.object({
  Ref: v.pipe(v.string(), v.regex(REF, 'must look like j-000412')),
  Jobclass: v.pipe(v.string(), v.maxLength(200)),
  Owner: text,
  Shape: v.picklist(['array', 'ensemble', 'service']),
  Rank: v.picklist(RANKS),
  Shards: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(100_000)),
  Cpus: positive,
  Cards: amount,
  MemGb: amount,
  Bundle: text,
  SizeGb: amount,
  Flavors: orNull(v.pipe(v.array(text), v.maxLength(100))),
  Site: orNull(text),
  OneZone: v.boolean(),
  Spread: v.boolean(),
  Reclaimable: v.boolean(),
  GuessS: amount,
  SnapshotEveryS: amount,
  SnapshotS: amount,
  DueS: orNull(amount),
});

/** The jobs that have to be done before; repeated names count once. */
const PredecessorsSchema = v.object({ Awaits: orNull(v.array(v.pipe(v.string(), v.regex(REF, 'must name jobs')))) });

export type Parsed =
  | { ok: true; spec: JobSpec; awaits: string[] }
  /** `ref`: the job that it speaks of, if it can be told: should that be known, nothing else about it matters. */
  | { ok: false; error: string; ref: string | undefined };

/** Reads a submission; unknown fields are ignored. */
export function parseSubmission(body: unknown): Parsed {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) {
    return { ok: false, error: 'not an object', ref: undefined };
  }
  const result = v.safeParse(SpecSchema, body);
  const predecessors = v.safeParse(PredecessorsSchema, body);
  if (result.success && predecessors.success) {
    return { ok: true, spec: result.output, awaits: [...new Set(predecessors.output.Awaits)] };
  }
  const issue = (result.issues ?? predecessors.issues)![0];
  const { Ref: ref } = body as { Ref?: unknown };
  const known = typeof ref === 'string' && REF.test(ref) ? ref : undefined;
  return { ok: false, error: `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`.slice(0, 300), ref: known };
}

/** Why the job can never run, or undefined. */
export function whyNever(spec: JobSpec, team: Team | undefined, catalog: Iterable<Flavor>): string | undefined {
  if (team === undefined) return 'unknown team';
  const empty = (flavor: Flavor) => ({ cpus: flavor.cpus, cards: flavor.cards, memGb: flavor.memGb });
  const suits = [...catalog].some(
    (flavor) =>
      (spec.Flavors === null || spec.Flavors.includes(flavor.sku)) &&
      (spec.Site === null || flavor.sites.length === 0 || flavor.sites.includes(spec.Site)) &&
      fits(spec, empty(flavor)),
  );
  if (!suits) return 'a task fits no allowed machine type';
  const tasks = spec.Shape === 'array' ? 1 : spec.Shards;
  if (!quotaAllows(team, { cpus: 0, cards: 0 }, spec.Cpus * tasks, spec.Cards * tasks)) {
    return "more than the team's limit";
  }
  return undefined;
}
