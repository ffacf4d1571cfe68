import type { HeartbeatForwarder } from '../gossip/heartbeat-forwarder.js';
import type { ForwardedHeartbeat, ForwardedHeartbeatAnswer } from '../gossip/messages.js';
import type { Log } from '../logging/log.js';
import type { HttpAnswer } from '../net/http-answer.js';
import type { WorkerManager } from './worker-manager.js';
import type { HeartbeatOutcome } from './worker-manager-dependencies.js';
import { decodeWorkerStatus, encodeHeartbeatAnswer, encodeRedirect } from './worker-wire-codec.js';

/** This node, its workers, and the way to the nodes that lead the others. */
export interface HeartbeatServiceDependencies {
  node: string;
  workerManager: WorkerManager;
  heartbeatForwarder: HeartbeatForwarder;
  log: Log;
  /** First heartbeat of a worker that another node leads: the others wait for that before they take it to be dead. */
  onMisrouted: () => void;
}

/** Answers workers' heartbeats over HTTP, also those that one node forwards to another. */
export class HeartbeatService {
  constructor(private readonly dependencies: HeartbeatServiceDependencies) {}

  /** Answers a heartbeat that a worker has sent to this node; 400: the body is no status. */
  answer(body: unknown): HttpAnswer | Promise<HttpAnswer> {
    const { workerManager, onMisrouted } = this.dependencies;
    const workerStatus = decodeWorkerStatus(body);
    if (workerStatus === undefined) return { status: 400, body: { error: 'not a report' } };
    const { misroutedWorkers } = workerManager;
    const { machineId } = workerStatus;
    const wasMisrouted = misroutedWorkers.has(machineId);
    const outcome = workerManager.handleHeartbeat(workerStatus);
    if (!wasMisrouted && misroutedWorkers.has(machineId)) onMisrouted();
    // It has been redirected before and is back: it can't get to its leader, but this node may.
    if (outcome.kind === 'redirected' && outcome.canForward && outcome.node !== undefined) {
      return this.forward(outcome.node, body);
    }
    return encodeOutcome(outcome);
  }

  /** The leader's own answer; a redirect if it can't be had in time. */
  private async forward(leader: string, body: unknown): Promise<HttpAnswer> {
    const answer = await this.dependencies.heartbeatForwarder.forward(leader, body);
    const leaderAnswer = answer?.status === 200 ? parseJson(answer.body) : undefined;
    if (leaderAnswer === undefined) return encodeOutcome({ kind: 'redirected', node: leader, canForward: false });
    return { status: 200, body: leaderAnswer };
  }

  /** Answers a heartbeat that another node has forwarded; undefined: it can't be read. */
  answerForwarded({ node: sender, id, status: text }: ForwardedHeartbeat): ForwardedHeartbeatAnswer | undefined {
    const { node, workerManager, log } = this.dependencies;
    const workerStatus = decodeWorkerStatus(parseJson(text));
    if (workerStatus === undefined) {
      log.warn({ sender }, 'forwarded heartbeat rejected');
      return undefined;
    }
    const { status, body } = encodeOutcome(workerManager.handleHeartbeat(workerStatus, sender));
    return { node, id, status, body: JSON.stringify(body) };
  }
}

function encodeOutcome(outcome: HeartbeatOutcome): HttpAnswer {
  switch (outcome.kind) {
    case 'answered':
      return { status: 200, body: encodeHeartbeatAnswer(outcome.fencingToken, outcome.commands) };
    case 'redirected':
      return { status: 421, body: encodeRedirect(outcome.node) };
    case 'unavailable':
      return { status: 503, body: { error: outcome.error } };
  }
}

/** undefined: not JSON. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
