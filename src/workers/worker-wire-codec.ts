/**
 * What workers and controllers send each other: the wire form, read and written here only, and the types that the program
 * works with. Sizes of texts are in characters.
 */
import * as v from 'valibot';

import type { MachineIdentity } from '../domain/machine-state.js';

const MAX_TEXT_CHARACTERS = 200;
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_TEXT_CHARACTERS));

const WireTaskSchema = v.object({
  Shard: text,
  Try: count,
  Phase: v.string(),
  Cause: v.optional(v.nullable(v.string()), null),
  Saved: v.optional(v.nullable(v.boolean()), null),
});

const WireStatusSchema = v.object({
  Host: text,
  Endpoint: text,
  Flavor: text,
  Site: text,
  Reclaimable: v.optional(v.nullable(v.boolean()), false),
  Tenure: v.pipe(count, v.minValue(1)),
  Tick: count,
  Fence: v.optional(v.nullable(count), 0),
  WarningS: v.optional(v.nullable(v.number()), null),
  Shards: v.optional(v.nullable(v.array(WireTaskSchema)), []),
});

/** Where an attempt is on its machine. */
export type ReportedTaskState = 'fetching' | 'waiting' | 'running' | 'checkpointing' | 'exited';

/** A task as its worker shows it. */
export interface ReportedTask {
  attempt: number;
  state: ReportedTaskState;
  /** Of an exited task. Reasons that this program does not know stay as the worker names them. */
  exitReason: string | null;
  /** It wrote a checkpoint when it was stopped. */
  isCheckpointed: boolean;
}

/** The status of a worker: the body of its heartbeats, and of its answers to commands. */
export interface WorkerStatus extends MachineIdentity {
  /** Highest fencing token that the worker has seen. */
  fencingToken: number;
  /** s until the cloud takes the machine away; null: no notice. */
  spotNoticeS: number | null;
  /** By task id. */
  tasks: Map<string, ReportedTask>;
}

/** What orders the statuses of a worker. */
export type StatusVersion = Pick<WorkerStatus, 'agentEpoch' | 'sequence'>;

/** The status with the larger agent epoch and sequence is the newer one. */
export const isNewerThan = (a: StatusVersion, b: StatusVersion): boolean =>
  a.agentEpoch > b.agentEpoch || (a.agentEpoch === b.agentEpoch && a.sequence > b.sequence);

const STATE_OF_PHASE = new Map<string, ReportedTaskState>([
  ['fetching', 'fetching'],
  ['waiting', 'waiting'],
  ['running', 'running'],
  ['flushing', 'checkpointing'],
  ['exited', 'exited'],
]);

const REASON_OF_CAUSE = new Map<string, string>([
  ['peers', 'peer_lost'],
  ['alone', 'gang_incomplete'],
  ['no_room', 'insufficient_resources'],
  ['in_use', 'already_present'],
]);

const decodeExitReason = (cause: string | null): string | null =>
  cause === null ? null : (REASON_OF_CAUSE.get(cause) ?? cause);

function decodeTasks(wireTasks: readonly v.InferOutput<typeof WireTaskSchema>[]): Map<string, ReportedTask> {
  const tasks = new Map<string, ReportedTask>();
  for (const { Shard: taskId, Try: attempt, Phase, Cause, Saved } of wireTasks) {
    const known = tasks.get(taskId);
    // Should a worker list two attempts of a task, the one that has not exited counts.
    if (known !== undefined && known.state !== 'exited') continue;
    // A state that we don't know still occupies the machine.
    const state = STATE_OF_PHASE.get(Phase) ?? 'running';
    tasks.set(taskId, { attempt, state, exitReason: decodeExitReason(Cause), isCheckpointed: Saved === true });
  }
  return tasks;
}

/** undefined: the body is not a worker's status. */
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

/** What a worker is to do. Commands are executed in order. */
export type WorkerCommand =
  | { kind: 'launch'; taskId: string; attempt: number }
  | { kind: 'kill'; taskId: string; attempt: number; gracePeriodS: number }
  | { kind: 'forget'; taskId: string; attempt: number };

/** A command in the wire form. */
export type WireCommand = object;

/** The wire form of one command. */
export const encodeCommand = (command: WorkerCommand): WireCommand => ({
  Verb: command.kind,
  Shard: command.taskId,
  Try: command.attempt,
  ...(command.kind === 'kill' ? { WindDownS: command.gracePeriodS } : {}),
});

/** Commands sent to a worker directly, not in the answer to a heartbeat. */
export interface DirectCommands {
  /** They are refused by a worker that has seen a higher one. */
  fencingToken: number;
  /** They are refused by a worker in another one. */
  agentEpoch: number;
  commands: readonly WorkerCommand[];
}

/** The body of a request with commands. */
export const encodeDirectCommands = ({ fencingToken, agentEpoch, commands }: DirectCommands): unknown => ({
  Fence: fencingToken,
  Tenure: agentEpoch,
  Orders: commands.map(encodeCommand),
});

/** The answer to a heartbeat: the leader's fencing token and commands. */
export const encodeHeartbeatAnswer = (fencingToken: number, commands: readonly WireCommand[]): unknown => ({
  Fence: fencingToken,
  Orders: commands,
});

/** The answer to a heartbeat that is for another node; undefined: the partition has no known leader. */
export const encodeRedirect = (node: string | undefined): unknown => (node === undefined ? {} : { Steward: node });
