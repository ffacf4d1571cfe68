/** Adapts the production version, built from an earlier commit, whose controller has other method names. */
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';

import type { Clock } from '../src/net/clock.js';
import type { HttpClient } from '../src/net/http-client.js';
import type { JsonResponse } from '../src/net/json-response.js';
import { noLog } from './fixtures.js';
import type { OpaqueMessage, ProgramVersion, TestedController } from './program-version.js';

interface ProductionController {
  send: (node: string, message: OpaqueMessage) => boolean;
  duties(signal: AbortSignal): Promise<void>;
  up(): JsonResponse;
  readonly claims: { holding(role: string): unknown };
  readonly jobs: {
    submit(body: unknown): Promise<JsonResponse>;
    poll(jobId: string): Promise<JsonResponse>;
    withdraw(jobId: string): Promise<JsonResponse>;
  };
  hello(body: unknown): JsonResponse | Promise<JsonResponse>;
  gossip(to: string): object;
  receive(message: OpaqueMessage): void;
}

type ProductionConstructor = new (
  settings: object,
  tuning: object,
  http: HttpClient,
  clock: Clock,
  log: typeof noLog,
  seed: number,
) => ProductionController;

class ProductionNode implements TestedController {
  constructor(private readonly controller: ProductionController) {}

  connect(send: (node: string, message: OpaqueMessage) => boolean): void {
    this.controller.send = send;
  }

  runBackgroundLoops(signal: AbortSignal): Promise<void> {
    return this.controller.duties(signal);
  }

  /** The production version has no planned handover. */
  handOver(): Promise<void> {
    return Promise.resolve();
  }

  isHealthy(): boolean {
    return this.controller.up().status === 200;
  }

  isLeader(): boolean {
    return this.controller.claims.holding('leader') !== undefined;
  }

  submit(body: unknown): Promise<JsonResponse> {
    return this.controller.jobs.submit(body);
  }

  poll(jobId: string): Promise<JsonResponse> {
    return this.controller.jobs.poll(jobId);
  }

  cancel(jobId: string): Promise<JsonResponse> {
    return this.controller.jobs.withdraw(jobId);
  }

  answerHeartbeat(body: unknown): JsonResponse | Promise<JsonResponse> {
    return this.controller.hello(body);
  }

  composeGossip(to: string): OpaqueMessage {
    return { gossip: this.controller.gossip(to) };
  }

  receive(message: OpaqueMessage): void {
    this.controller.receive(message);
  }
}

/** Loads the production version. `checkout`: the folder of its sources, compiled with its tests. */
export async function loadProductionVersion(checkout: string): Promise<ProgramVersion> {
  const load = (file: string) =>
    import(pathToFileURL(resolve(checkout, 'target/test/src', file)).href) as Promise<unknown>;
  const { Controller } = (await load('controller/controller.js')) as { Controller: ProductionConstructor };
  const messages = (await load('mesh/messages.js')) as {
    encodeMessage(message: OpaqueMessage): Buffer;
    decodeMessage(bytes: Buffer): OpaqueMessage;
  };
  return {
    // eslint-disable-next-line max-params -- the released version's constructor has six
    createController: (settings, tuning, http, clock, seed) =>
      new ProductionNode(new Controller(settings, tuning, http, clock, noLog, seed)),
    readsLargeCounts: false,
    encodeMessage: (message) => messages.encodeMessage(message),
    decodeMessage: (bytes) => messages.decodeMessage(bytes),
  };
}
