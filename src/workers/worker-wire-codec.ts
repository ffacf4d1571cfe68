/**
 * The protocol between workers and controllers: the wire form, which is encoded and decoded only here, and the types
 * that the rest of the program uses.
 */
import * as v from 'valibot';

import { type Count, toCount } from '../domain/count.js';
import type { MachineIdentity } from '../domain/machine-state.js';

/** A count, in the form in which equal counts are equal. */
const count = v.pipe(
  v.unknown(),
  v.transform(toCount),
  v.custom<Count>((value) => value !== undefined),
);
const nonEmptyText = v.pipe(v.string(), v.minLength(1));

const WireTaskSchema = v.object({
  Shard: nonEmptyText,
  Try: count,
  Phase: v.string(),
  Cause: v.optional(v.nullable(v.string()), null),
  Saved: v.optional(v.nullable(v.boolean()), null),
});

const WireStatusSchema = v.object({
  Host: nonEmptyText,
  Endpoint: nonEmptyText,
  Flavor: nonEmptyText,
  Site: nonEmptyText,
  Reclaimable: v.optional(v.nullable(v.boolean()), false),
  Tenure: v.pipe(
    count,
    v.check((value) => value >= 1),
  ),
  Tick: count,
  Fence: v.optional(v.nullable(count), 0),
  WarningS: v.optional(v.nullable(v.number()), null),
  Shards: v.optional(v.nullable(v.array(WireTaskSchema)), []),
});

/** State of an attempt on its machine. */
export type ReportedTaskState = 'fetching' | 'waiting' | 'running' | 'checkpointing' | 'exited';

/** A task as its worker reports it. */
export interface ReportedTask {
  attempt: Count;
  state: ReportedTaskState;
  /** Why the task exited, if it has. Reasons unknown to this program are kept as the worker sends them. */
  exitReason: string | null;
  /** Whether the task wrote a checkpoint when it was stopped. */
  isCheckpointed: boolean;
}

/** The status of a worker: the body of its heartbeats and of its responses to commands. */
export interface WorkerStatus extends MachineIdentity {
  /** Highest fencing token that the worker has seen. */
  fencingToken: Count;
  /** Seconds until the cloud reclaims the machine; null without a spot notice. */
  spotNoticeS: number | null;
  /** By task id. */
  tasks: Map<string, ReportedTask>;
}

/** The fields that order the statuses of a worker. */
export type StatusVersion = Pick<WorkerStatus, 'agentEpoch' | 'sequence'>;

/** Whether status `a` is newer than `b`: agent epochs are compared first, then sequence numbers. */
export const isNewerThan = (a: StatusVersion, b: StatusVersion): boolean =>
  a.agentEpoch > b.agentEpoch || (a.agentEpoch === b.agentEpoch && a.sequence > b.sequence);

const TASK_STATE_BY_PHASE = new Map<string, ReportedTaskState>([
  ['fetching', 'fetching'],
  ['waiting', 'waiting'],
  ['running', 'running'],
  ['flushing', 'checkpointing'],
  ['exited', 'exited'],
]);

const EXIT_REASON_BY_CAUSE = new Map<string, string>([
  ['peers', 'peer_lost'],
  ['alone', 'gang_incomplete'],
  ['no_room', 'insufficient_resources'],
  ['in_use', 'already_present'],
]);

const decodeExitReason = (cause: string | null): string | null =>
  cause === null ? null : (EXIT_REASON_BY_CAUSE.get(cause) ?? cause);

function decodeTasks(wireTasks: readonly v.InferOutput<typeof WireTaskSchema>[]): Map<string, ReportedTask> {
  const tasks = new Map<string, ReportedTask>();
  for (const { Shard: taskId, Try: attempt, Phase, Cause, Saved } of wireTasks) {
    const previous = tasks.get(taskId);
    // If a worker lists two attempts of a task, the one that has not exited is kept.
    if (previous !== undefined && previous.state !== 'exited') continue;
    // A task in an unknown state still occupies the machine, so it counts as running.
    const state = TASK_STATE_BY_PHASE.get(Phase) ?? 'running';
    tasks.set(taskId, { attempt, state, exitReason: decodeExitReason(Cause), isCheckpointed: Saved === true });
  }
  return tasks;
}

/** Returns undefined if the body is not a worker status. */
export function decodeWorkerStatus(body: unknown): WorkerStatus | undefined {
  const result = v.safeParse(WireStatusSchema, body);
  if (!result.success) return undefined;
  const wire = result.output;
  return {
    machineId: wire.Host,
    endpoint: wire.Endpoint,
    machineType: wire.Flavor,
    zone: wire.Site,
    isSpot: wire.Reclaimable === true,
    agentEpoch: wire.Tenure,
    sequence: wire.Tick,
    fencingToken: wire.Fence ?? 0,
    spotNoticeS: wire.WarningS,
    tasks: decodeTasks(wire.Shards ?? []),
  };
}

/** A command to a worker. Workers execute commands in order. */
export type WorkerCommand =
  | { kind: 'launch'; taskId: string; attempt: Count }
  | { kind: 'kill'; taskId: string; attempt: Count; gracePeriodS: number }
  | { kind: 'forget'; taskId: string; attempt: Count };

/** A command in the wire form. */
export type WireCommand = object;

/** The wire form of one command. */
export const encodeCommand = (command: WorkerCommand): WireCommand => ({
  Verb: command.kind,
  Shard: command.taskId,
  Try: command.attempt,
  ...(command.kind === 'kill' ? { WindDownS: command.gracePeriodS } : {}),
});

/** Commands sent to a worker directly, not in the response to a heartbeat. */
export interface DirectCommands {
  /** A worker that has seen a higher token refuses the commands. */
  fencingToken: Count;
  /** A worker in another agent epoch refuses the commands. */
  agentEpoch: Count;
  commands: readonly WorkerCommand[];
}

/** The body of a request with commands. */
export const encodeDirectCommands = ({ fencingToken, agentEpoch, commands }: DirectCommands): unknown => ({
  Fence: fencingToken,
  Tenure: agentEpoch,
  Orders: commands.map(encodeCommand),
});

/** The response to a heartbeat: the leader's fencing token and commands. */
export const encodeHeartbeatResponse = (fencingToken: Count, commands: readonly WireCommand[]): unknown => ({
  Fence: fencingToken,
  Orders: commands,
});

/** The response that redirects a worker to its leader; `node` is undefined for a terminated machine, which has none. */
export const encodeRedirect = (node: string | undefined): unknown => (node === undefined ? {} : { Steward: node });
