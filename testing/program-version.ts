/** A version of the program behind an interface that is the same for all versions under test. */
import { decodeSettings, decodeTuning, type SettingsFile, type TuningFile } from '../src/config/settings-file-codec.js';
import { Controller } from '../src/controller/controller.js';
import { decodeMessage, encodeMessage, type ReceiverAbilities } from '../src/gossip/message-codec.js';
import type { Message } from '../src/gossip/messages.js';
import type { Clock } from '../src/net/clock.js';
import type { HttpClient } from '../src/net/http-client.js';
import type { JsonResponse } from '../src/net/json-response.js';
import { invariantLog } from './invariant-log.js';

/** A message between controllers, in the representation of the version that sends or receives it. */
export type OpaqueMessage = object;

/** A controller of any version, as seen from outside. */
export interface TestedController {
  /** Sets the function that sends a message to another node; it returns false if there is no connection. */
  connect(send: (node: string, message: OpaqueMessage) => boolean): void;
  runBackgroundLoops(signal: AbortSignal): Promise<void>;
  handOver(): Promise<void>;
  isHealthy(): boolean;
  isLeader(): boolean;
  submit(body: unknown): Promise<JsonResponse>;
  poll(jobId: string): Promise<JsonResponse>;
  cancel(jobId: string): Promise<JsonResponse>;
  answerHeartbeat(body: unknown): JsonResponse | Promise<JsonResponse>;
  composeGossip(to: string): OpaqueMessage;
  receive(message: OpaqueMessage): void;
}

/** Creates controllers of a version, and encodes the messages between them. */
export interface ProgramVersion {
  createController(
    settings: SettingsFile,
    tuning: TuningFile,
    http: HttpClient,
    clock: Clock,
    seed: number,
  ): TestedController;
  /** Whether its controllers decode counts above 2^53 in messages. */
  readonly readsLargeCounts: boolean;
  encodeMessage(message: OpaqueMessage, receiver: ReceiverAbilities): Buffer;
  decodeMessage(bytes: Buffer): OpaqueMessage;
}

/** A controller of the current version. */
class CurrentController implements TestedController {
  constructor(readonly controller: Controller) {}

  connect(send: (node: string, message: OpaqueMessage) => boolean): void {
    this.controller.send = send;
  }

  runBackgroundLoops(signal: AbortSignal): Promise<void> {
    return this.controller.runBackgroundLoops(signal);
  }

  handOver(): Promise<void> {
    return this.controller.handOver();
  }

  isHealthy(): boolean {
    return this.controller.answerHealthCheck().status === 200;
  }

  isLeader(): boolean {
    return this.controller.leadership.leadershipOf('leader') !== undefined;
  }

  submit(body: unknown): Promise<JsonResponse> {
    return this.controller.jobs.submit(body);
  }

  poll(jobId: string): Promise<JsonResponse> {
    return this.controller.jobs.poll(jobId);
  }

  cancel(jobId: string): Promise<JsonResponse> {
    return this.controller.jobs.cancel(jobId);
  }

  answerHeartbeat(body: unknown): JsonResponse | Promise<JsonResponse> {
    return this.controller.answerHeartbeat(body);
  }

  composeGossip(to: string): OpaqueMessage {
    return { kind: 'gossip', payload: this.controller.composeGossip(to) } satisfies Message;
  }

  receive(message: OpaqueMessage): void {
    this.controller.receive(message as Message);
  }
}

/** The controller itself, for tests that inspect its internals; only for the current version. */
export function currentController(tested: TestedController): Controller {
  if (!(tested instanceof CurrentController)) throw new Error('the node runs another version');
  return tested.controller;
}

/** The version in this repository. */
export const CURRENT_VERSION: ProgramVersion = {
  // eslint-disable-next-line max-params -- mirrors the released version's constructor
  createController: (settings, tuning, http, clock, seed) =>
    new CurrentController(
      new Controller({
        ...{ http, clock, seed },
        settings: decodeSettings(settings),
        tuning: decodeTuning(tuning),
        log: invariantLog,
      }),
    ),
  readsLargeCounts: true,
  encodeMessage: (message, receiver) => encodeMessage(message as Message, receiver),
  decodeMessage,
};
