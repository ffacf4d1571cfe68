/** Which handler serves a request, by its path and method. */
import type { HttpAnswer } from '../net/http-answer.js';

/** What the node does for users, workers and health checks. */
export interface Handlers {
  /** Submission of a job. */
  submit(body: unknown): Promise<HttpAnswer>;
  /** Status of a job. */
  poll(jobId: string): Promise<HttpAnswer>;
  cancel(jobId: string): Promise<HttpAnswer>;
  answerHeartbeat(body: unknown): HttpAnswer | Promise<HttpAnswer>;
  /** Health check. */
  up(): HttpAnswer;
}

/** How one path is served. */
export interface Route {
  method: 'GET' | 'POST';
  /** Users' requests are bounded in number; workers' heartbeats and health checks are always handled. */
  isBounded: boolean;
  /** The handler takes the request's JSON body; otherwise the body is not read. */
  takesBody: boolean;
  handle(body: unknown): HttpAnswer | Promise<HttpAnswer>;
}

const JOBS_PATH = '/v1/jobs';
const JOB_PATH = /^\/v1\/jobs\/([^/]+)(\/withdraw)?$/;

/** The routes of one server. Each path has one method. */
export class Routes {
  private readonly fixed: ReadonlyMap<string, Route>;

  constructor(private readonly handlers: Handlers) {
    this.fixed = new Map<string, Route>([
      [
        '/hello',
        { method: 'POST', isBounded: false, takesBody: true, handle: (body) => handlers.answerHeartbeat(body) },
      ],
      ['/up', { method: 'GET', isBounded: false, takesBody: false, handle: () => handlers.up() }],
      [JOBS_PATH, { method: 'POST', isBounded: true, takesBody: true, handle: (body) => handlers.submit(body) }],
    ]);
  }

  /** undefined: there is no such path. */
  find(url: string): Route | undefined {
    const queryAt = url.indexOf('?');
    const path = queryAt < 0 ? url : url.slice(0, queryAt);
    return this.fixed.get(path) ?? this.findJob(path);
  }

  private findJob(path: string): Route | undefined {
    const match = JOB_PATH.exec(path);
    const jobId = decodePathPart(match?.[1]);
    if (jobId === undefined) return undefined;
    const isCancellation = match?.[2] !== undefined;
    return isCancellation
      ? { method: 'POST', isBounded: true, takesBody: false, handle: () => this.handlers.cancel(jobId) }
      : { method: 'GET', isBounded: true, takesBody: false, handle: () => this.handlers.poll(jobId) };
  }
}

/** undefined: there is nothing to decode, or it is not encoded as a URL must be. */
function decodePathPart(part: string | undefined): string | undefined {
  if (part === undefined) return undefined;
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}
