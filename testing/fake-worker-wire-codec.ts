/** The worker's side of its wire form: its status encoded, commands and answers to heartbeats decoded. */

/** A step of a task on its worker. */
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
  /** These are never sent: the machine is gone, or its lease has expired. */
  | 'gone'
  | 'killed';

/** A task as its worker reports it. */
export interface TaskStatus {
  attempt: number;
  state: TaskState;
  exitReason?: ExitReason;
  isCheckpointed?: boolean;
}

/** The body of a heartbeat, and of an answer to commands. */
export interface WorkerStatus {
  machineId: string;
  endpoint: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  spotNoticeS: number | null;
  tasks: ReadonlyMap<string, TaskStatus>;
}

/** What a worker is to do with a task. */
export type TaskCommand =
  | { kind: 'launch' | 'forget'; taskId: string; attempt: number }
  | { kind: 'kill'; taskId: string; attempt: number; gracePeriodS: number };

/** Commands with the sender's fencing token. */
export interface CommandBatch {
  fencingToken: number;
  /** Of commands that are sent directly: the agent epoch that they are meant for. */
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

/** Commands that were sent directly, or the answer to a heartbeat. */
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

/** Commands as tests send them to a worker directly. */
export const encodeCommandBatch = ({ fencingToken, agentEpoch, commands }: CommandBatch): object => ({
  Fence: fencingToken,
  Tenure: agentEpoch,
  Orders: commands.map(encodeCommand),
});

/** The node that a misrouted heartbeat should go to; undefined: the answer names none. */
export const decodeRedirect = (body: unknown): string | undefined => (body as { Steward?: string }).Steward;
