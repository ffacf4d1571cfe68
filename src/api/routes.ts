/** Maps the path of a request to its method and handler. */
import type { JsonResponse } from '../net/json-response.js';
import type { ConnectionKind } from './connection-table.js';

/** The handlers of requests from users, workers and health checks. */
export interface Handlers {
  /** Submission of a job. */
  submit(body: unknown): Promise<JsonResponse>;
  /** Status of a job. */
  poll(jobId: string): Promise<JsonResponse>;
  cancel(jobId: string): Promise<JsonResponse>;
  answerHeartbeat(body: unknown): JsonResponse | Promise<JsonResponse>;
  answerHealthCheck(): JsonResponse;
}

/** How one path is served. */
export interface Route {
  method: 'GET' | 'POST';
  /** True for users' requests, whose number in progress is limited; heartbeats and health checks are always handled. */
  isConcurrencyLimited: boolean;
  /** Who sends such requests. */
  connectionKind: ConnectionKind;
  /** The handler takes the request's JSON body; otherwise the body is discarded. */
  readsBody: boolean;
  handle(body: unknown): JsonResponse | Promise<JsonResponse>;
}

const JOBS_PATH = '/v1/jobs';
const JOB_PATH = /^\/v1\/jobs\/([^/]+)(\/withdraw)?$/;

/** The routes of one server. Each path has one method. */
export class Routes {
  private readonly routesByPath: ReadonlyMap<string, Route>;

  constructor(private readonly handlers: Handlers) {
    this.routesByPath = new Map<string, Route>([
      [
        '/hello',
        {
          method: 'POST',
          isConcurrencyLimited: false,
          connectionKind: 'worker',
          readsBody: true,
          handle: (body) => handlers.answerHeartbeat(body),
        },
      ],
      [
        '/up',
        {
          method: 'GET',
          isConcurrencyLimited: false,
          connectionKind: 'probe',
          readsBody: false,
          handle: () => handlers.answerHealthCheck(),
        },
      ],
      [
        JOBS_PATH,
        {
          method: 'POST',
          isConcurrencyLimited: true,
          connectionKind: 'user',
          readsBody: true,
          handle: (body) => handlers.submit(body),
        },
      ],
    ]);
  }

  /** Returns undefined if there is no such path. */
  find(url: string): Route | undefined {
    const queryIndex = url.indexOf('?');
    const path = queryIndex < 0 ? url : url.slice(0, queryIndex);
    return this.routesByPath.get(path) ?? this.findJobRoute(path);
  }

  private findJobRoute(path: string): Route | undefined {
    const match = JOB_PATH.exec(path);
    const jobId = decodePathSegment(match?.[1]);
    if (jobId === undefined) return undefined;
    const isCancellation = match?.[2] !== undefined;
    return isCancellation
      ? {
          method: 'POST',
          isConcurrencyLimited: true,
          connectionKind: 'user',
          readsBody: false,
          handle: () => this.handlers.cancel(jobId),
        }
      : {
          method: 'GET',
          isConcurrencyLimited: true,
          connectionKind: 'user',
          readsBody: false,
          handle: () => this.handlers.poll(jobId),
        };
  }
}

/** Returns undefined if the segment is missing or its percent-encoding is invalid. */
function decodePathSegment(segment: string | undefined): string | undefined {
  if (segment === undefined) return undefined;
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
