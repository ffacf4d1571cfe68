import type { Count } from '../domain/count.js';
import { EventCounts } from '../logging/event-counts.js';
import type { Log } from '../logging/log.js';
import type { WorkerCommand } from './worker-wire-codec.js';

/** How commands are sent: in a request to `/commands`, or in the response to a heartbeat. */
export type CommandChannel = 'request' | 'response';

/** What commands are sent to, and what the worker checks them by. */
export interface CommandTarget {
  machineId: string;
  channel: CommandChannel;
  fencingToken: Count;
  agentEpoch: Count;
  /** Sequence number of the worker's newest status, on which the commands are based. */
  sequence: Count;
}

/** Logs and counts the commands that this node sends to workers, with what each of them is based on. */
export class CommandLog {
  private readonly counts = new EventCounts();

  constructor(private readonly log: Log) {}

  /** Records that the command is sent. */
  record(target: CommandTarget, { kind, taskId, attempt }: WorkerCommand): void {
    this.counts.record(`${kind} by ${target.channel}`);
    this.log.debug({ command: kind, taskId, attempt, ...target }, 'sending command');
  }

  /** Records that launches wait, because the worker's report has no space for their tasks. */
  recordHeld(machineId: string, launchCount: number): void {
    this.counts.record('launches held');
    this.log.debug({ machineId, launchCount }, 'launches held: the report has no space');
  }

  /** Records the outcome of a request with commands. */
  recordOutcome({ machineId, fencingToken, agentEpoch }: CommandTarget, outcome: string): void {
    this.counts.record(`request ${outcome}`);
    this.log.debug({ machineId, fencingToken, agentEpoch, outcome }, 'command request ended');
  }

  /** Returns the number of commands by kind and channel, and of requests by outcome, since the last call. */
  takeCounts(): Record<string, number> {
    return this.counts.take();
  }
}
