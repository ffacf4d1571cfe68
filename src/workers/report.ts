/** The reports that workers send, and the orders that they get. */
import * as v from 'valibot';
import type { MachineIdentity } from './machine-state.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(200));

const TaskSchema = v.object({
  Shard: text,
  Try: count,
  Phase: v.string(),
  Cause: v.optional(v.nullable(v.string()), null),
  Saved: v.optional(v.nullable(v.boolean()), null),
});

const ReportSchema = v.object({
  Host: text,
  Endpoint: text,
  Flavor: text,
  Site: text,
  Reclaimable: v.optional(v.nullable(v.boolean()), false),
  Tenure: v.pipe(count, v.minValue(1)),
  Tick: count,
  Fence: v.optional(v.nullable(count), 0),
  WarningS: v.optional(v.nullable(v.number()), null),
  Shards: v.optional(v.nullable(v.array(TaskSchema)), []),
});

/** A task as its worker sees it, in our words. */
export interface ReportedTask {
  attempt: number;
  phase: 'fetching' | 'waiting' | 'running' | 'flushing' | 'exited';
  cause: string | null;
  saved: boolean;
}

/** One report of a worker. */
export interface Report extends MachineIdentity {
  fence: number;
  warningS: number | null;
  tasks: Map<string, ReportedTask>;
}

/** The message with the larger session and Tick is the newer one. */
export const isNewerThan = (a: Pick<Report, 'tenure' | 'tick'>, b: Pick<Report, 'tenure' | 'tick'>): boolean =>
  a.tenure > b.tenure || (a.tenure === b.tenure && a.tick > b.tick);

const PHASES = ['fetching', 'waiting', 'running', 'flushing', 'exited'];

/** undefined: not a report. */
export function decodeReport(body: unknown): Report | undefined {
  const result = v.safeParse(ReportSchema, body);
  if (!result.success) return undefined;
  const raw = result.output;
  const tasks = new Map<string, ReportedTask>();
  for (const task of raw.Shards ?? []) {
    // A phase that we don't know still occupies the machine.
    const phase = (PHASES.includes(task.Phase) ? task.Phase : 'running') as ReportedTask['phase'];
    const known = tasks.get(task.Shard);
    // Should a worker list two attempts of a task, the one that is not over counts.
    if (known !== undefined && known.phase !== 'exited') continue;
    tasks.set(task.Shard, { attempt: task.Try, phase, cause: task.Cause, saved: task.Saved === true });
  }
  return {
    host: raw.Host,
    endpoint: raw.Endpoint,
    flavor: raw.Flavor,
    site: raw.Site,
    reclaimable: raw.Reclaimable === true,
    tenure: raw.Tenure,
    tick: raw.Tick,
    fence: raw.Fence ?? 0,
    warningS: raw.WarningS,
    tasks,
  };
}

export type Order =
  | { verb: 'launch'; shard: string; attempt: number }
  | { verb: 'kill'; shard: string; attempt: number; grace: number }
  | { verb: 'forget'; shard: string; attempt: number };

export const encodeOrder = (order: Order): unknown => ({
  Verb: order.verb,
  Shard: order.shard,
  Try: order.attempt,
  ...(order.verb === 'kill' ? { WindDownS: order.grace } : {}),
});
