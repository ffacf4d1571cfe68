/** The worker's side of its wire format: encodes its status, and decodes commands and answers to heartbeats. */

/** The state of a task on its worker. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'checkpointing' | 'exited';

/** Why a task has exited. */
export type ExitReason =
  | 'done'
  | 'error'
  | 'stopped'
  | 'unknown'
  | 'peer_lost'
  | 'gang_incomplete'
  | 'insufficient_resources'
  /** The last two are never sent: the machine is gone, or its lease has expired. */
  | 'gone'
  | 'killed';

/** The status of a task as its worker reports it. */
export interface TaskStatus {
  attempt: number;
  state: TaskState;
  exitReason?: ExitReason;
  isCheckpointed?: boolean;
}

/** The content of a heartbeat and of an answer to commands. */
export interface WorkerStatus {
  machineId: string;
  endpoint: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  agentEpoch: number;
  sequence: number | bigint;
  fencingToken: number;
  spotNoticeS: number | null;
  tasks: ReadonlyMap<string, TaskStatus>;
}

/** A command to a worker about a task. */
export type TaskCommand =
  | { kind: 'launch' | 'forget'; taskId: string; attempt: number }
  | { kind: 'kill'; taskId: string; attempt: number; gracePeriodS: number };

/** Commands with the sender's fencing token. */
export interface CommandBatch {
  fencingToken: number;
  /** The agent epoch that directly sent commands are meant for; absent in answers to heartbeats. */
  agentEpoch?: number;
  commands: TaskCommand[];
}

const WIRE_STATES: Record<TaskState, string> = {
  fetching: 'fetching',
  waiting: 'waiting',
  running: 'running',
  checkpointing: 'flushing',
  exited: 'exited',
};

const WIRE_REASONS: Record<ExitReason, string> = {
  done: 'done',
  error: 'error',
  stopped: 'stopped',
  unknown: 'unknown',
  peer_lost: 'peers',
  gang_incomplete: 'alone',
  insufficient_resources: 'no_room',
  gone: 'gone',
  killed: 'killed',
};

const encodeTask = (taskId: string, { attempt, state, exitReason, isCheckpointed }: TaskStatus): object => ({
  Shard: taskId,
  Try: attempt,
  Phase: WIRE_STATES[state],
  Cause: exitReason && WIRE_REASONS[exitReason],
  Saved: isCheckpointed,
});

export const encodeWorkerStatus = (status: WorkerStatus): object => ({
  Host: status.machineId,
  Endpoint: status.endpoint,
  Flavor: status.machineType,
  Site: status.zone,
  Reclaimable: status.isSpot,
  Tenure: status.agentEpoch,
  Tick: status.sequence,
  Fence: status.fencingToken,
  WarningS: status.spotNoticeS,
  Shards: [...status.tasks].map(([taskId, task]) => encodeTask(taskId, task)),
});

interface WireCommand {
  Verb: 'launch' | 'kill' | 'forget';
  Shard: string;
  Try: number;
  WindDownS?: number;
}

interface WireCommandBatch {
  Fence: number;
  Tenure?: number;
  Orders: WireCommand[];
}

function decodeCommand({
  Verb: kind,
  Shard: taskId,
  Try: attempt,
  WindDownS: gracePeriodS = 0,
}: WireCommand): TaskCommand {
  return kind === 'kill' ? { kind, taskId, attempt, gracePeriodS } : { kind, taskId, attempt };
}

/** Decodes commands that were sent directly, or the answer to a heartbeat. */
export function decodeCommandBatch(body: unknown): CommandBatch {
  const { Fence: fencingToken, Tenure: agentEpoch, Orders } = body as WireCommandBatch;
  return { fencingToken, agentEpoch, commands: Orders.map(decodeCommand) };
}

const encodeCommand = (command: TaskCommand): WireCommand => ({
  Verb: command.kind,
  Shard: command.taskId,
  Try: command.attempt,
  ...(command.kind === 'kill' ? { WindDownS: command.gracePeriodS } : {}),
});

/** Encodes commands that tests send to a worker directly. */
export const encodeCommandBatch = ({ fencingToken, agentEpoch, commands }: CommandBatch): object => ({
  Fence: fencingToken,
  Tenure: agentEpoch,
  Orders: commands.map(encodeCommand),
});

/** The node that a misrouted heartbeat is redirected to; undefined if the answer names none. */
export const decodeRedirect = (body: unknown): string | undefined => (body as { Steward?: string }).Steward;
