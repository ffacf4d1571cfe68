import type { HeartbeatForwarder } from '../gossip/heartbeat-forwarder.js';
import type { ForwardedHeartbeat, ForwardedHeartbeatAnswer } from '../gossip/messages.js';
import type { Log } from '../logging/log.js';
import type { RefusalLog } from '../logging/refusal-log.js';
import { parseJson, stringifyJson } from '../net/json.js';
import type { JsonResponse } from '../net/json-response.js';
import type { WorkerManager } from './worker-manager.js';
import type { HeartbeatOutcome } from './worker-manager-dependencies.js';
import { decodeWorkerStatus, encodeHeartbeatResponse, encodeRedirect } from './worker-wire-codec.js';

/** This node, its workers, and the forwarder to the leaders of other partitions. */
export interface HeartbeatServiceDependencies {
  node: string;
  workerManager: WorkerManager;
  heartbeatForwarder: HeartbeatForwarder;
  log: Log;
  refusals: RefusalLog;
  /**
   * Called at the first heartbeat of a worker whose partition another node leads: the other nodes must learn of it
   * before they consider the worker dead.
   */
  onMisrouted: () => void;
}

/** Responds to workers' heartbeats: those received over HTTP, and those that other nodes forward. */
export class HeartbeatService {
  constructor(private readonly dependencies: HeartbeatServiceDependencies) {}

  /** Responds to a heartbeat that a worker sent to this node; 400 if the body is not a worker status. */
  answer(body: unknown): JsonResponse | Promise<JsonResponse> {
    const { workerManager, onMisrouted } = this.dependencies;
    const workerStatus = decodeWorkerStatus(body);
    if (workerStatus === undefined) return { status: 400, body: { error: 'not a report' } };
    const { misroutedWorkers } = workerManager;
    const { machineId } = workerStatus;
    const wasMisrouted = misroutedWorkers.has(machineId);
    const outcome = workerManager.handleHeartbeat(workerStatus);
    if (!wasMisrouted && misroutedWorkers.has(machineId)) onMisrouted();
    // The worker was in contact with its leader, or was redirected to it, and now sends a heartbeat to this node: it
    // can't reach the leader, but this node may.
    if (outcome.kind === 'redirected' && outcome.shouldForward && outcome.node !== undefined) {
      return this.forward(outcome.node, body);
    }
    this.recordRefusal(outcome, machineId);
    return encodeOutcome(outcome);
  }

  private recordRefusal(outcome: HeartbeatOutcome, machineId: string): void {
    if (outcome.kind !== 'unavailable') return;
    this.dependencies.refusals.record({ kind: 'heartbeat', reason: outcome.error, fields: { machineId } });
  }

  /** Returns the leader's own response, or a redirect if the leader does not respond with 200 in time. */
  private async forward(leader: string, body: unknown): Promise<JsonResponse> {
    const response = await this.dependencies.heartbeatForwarder.forward(leader, body);
    const leaderResponse = response?.status === 200 ? tryParseJson(response.body) : undefined;
    if (leaderResponse === undefined) return encodeOutcome({ kind: 'redirected', node: leader, shouldForward: false });
    return { status: 200, body: leaderResponse };
  }

  /** Responds to a heartbeat that another node forwarded; undefined if it can't be decoded. */
  answerForwarded({ node: sender, id, status: text }: ForwardedHeartbeat): ForwardedHeartbeatAnswer | undefined {
    const { node, workerManager, log } = this.dependencies;
    const workerStatus = decodeWorkerStatus(tryParseJson(text));
    if (workerStatus === undefined) {
      log.warn({ sender }, 'forwarded heartbeat rejected');
      return undefined;
    }
    const { status, body } = encodeOutcome(workerManager.handleHeartbeat(workerStatus, sender));
    return { node, id, status, body: stringifyJson(body) };
  }
}

function encodeOutcome(outcome: HeartbeatOutcome): JsonResponse {
  switch (outcome.kind) {
    case 'answered':
      return { status: 200, body: encodeHeartbeatResponse(outcome.fencingToken, outcome.commands) };
    case 'redirected':
      return { status: 421, body: encodeRedirect(outcome.node) };
    case 'unavailable':
      return { status: 503, body: { error: outcome.error } };
  }
}

/** Returns undefined if the text is not JSON. */
function tryParseJson(text: string): unknown {
  try {
    return parseJson(text);
  } catch {
    return undefined;
  }
}
