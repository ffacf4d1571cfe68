/** Fake users of a cluster. */
import type { JsonResponse } from '../src/net/json-response.js';
import type { Random } from '../src/net/random.js';
import type { FakeClock } from './fake-clock.js';
import { decodeJobState, type JobState } from './job-status-wire-codec.js';
import { type AnySubmissionFields, decodeSubmission, encodeSubmission } from './submission-wire-codec.js';

/** How long a user retries a request, and the period of polls for an unfinished job. */
const RETRY_LIMIT_MS = 60_000;
const POLL_MS = 5000;
/** Period of polls for a finished job. */
const FINISHED_POLL_MS = 20_000;

/** Fields with values that every controller rejects. */
const INVALID_FIELDS: AnySubmissionFields[] = [
  { cpus: 1e6 },
  { team: 'nobody' },
  { taskCount: undefined },
  { priority: 'odd' },
  { gpus: -1 },
];

/** The requests that users send to the nodes of a cluster. */
export interface Service {
  nodes: number;
  isHealthy(node: number): boolean;
  post(body: unknown, node: number): Promise<JsonResponse>;
  requestStatus(jobId: string, node: number): Promise<JsonResponse>;
  requestCancellation(jobId: string, node: number): Promise<JsonResponse>;
}

/** Users as the protocol describes them: they retry failed requests, keep polling, and send some unusual requests. */
export class FakeUsers {
  /** Accepted jobs, with the submitted body and the last known state. */
  readonly jobs = new Map<string, { body: object; state: JobState }>();

  constructor(
    private readonly service: Service,
    private readonly clock: FakeClock,
    private readonly random: Random,
  ) {}

  /** Chooses a random healthy node, as the load balancer does; any node if none is healthy. */
  private anyNode(): number {
    const all = Array.from({ length: this.service.nodes }, (_, node) => node);
    const healthy = all.filter((node) => this.service.isHealthy(node));
    const candidates = healthy.length > 0 ? healthy : all;
    return candidates[this.random.intBelow(candidates.length)]!;
  }

  private async retry(request: (node: number) => Promise<JsonResponse>): Promise<JsonResponse> {
    const end = this.clock.now() + RETRY_LIMIT_MS;
    for (;;) {
      const answer = await request(this.anyNode());
      if ([200, 201, 400, 404, 422].includes(answer.status) || this.clock.now() > end) return answer;
      await this.clock.sleep(Math.max(1, Math.min(30, answer.retryAfter ?? 0)) * 1000);
    }
  }

  /** Submits a job with retries and, once it is accepted, polls it for ever. */
  async submit(body: object): Promise<JsonResponse> {
    const answer = await this.retry((node) => this.service.post(body, node));
    const { id } = decodeSubmission(body);
    if (answer.status > 201 || answer.status === 0 || this.jobs.has(id)) return answer;
    this.jobs.set(id, { body, state: 'queued' });
    void this.pollForever(id);
    return answer;
  }

  async cancelJob(jobId: string): Promise<JsonResponse> {
    const answer = await this.retry((node) => this.service.requestCancellation(jobId, node));
    this.recordState(jobId, answer);
    return answer;
  }

  private recordState(jobId: string, answer: JsonResponse): void {
    const job = this.jobs.get(jobId);
    if (job !== undefined && answer.status === 200) job.state = decodeJobState(answer.body)!;
  }

  private async pollForever(jobId: string): Promise<void> {
    const job = this.jobs.get(jobId)!;
    for (;;) {
      const isFinished = job.state === 'done' || job.state === 'cancelled';
      await this.clock.sleep(this.random.jitter(isFinished ? FINISHED_POLL_MS : POLL_MS));
      this.recordState(jobId, await this.service.requestStatus(jobId, this.anyNode()));
    }
  }

  /**
   * Sends unusual requests, one after the other: repeated submissions of unfinished jobs, also malformed ones;
   * cancellations of jobs that are done; submissions that fit no machine or have a missing or invalid field; and a poll
   * of an unknown job.
   */
  async sendUnusualRequests(): Promise<JsonResponse[]> {
    const answers: JsonResponse[] = [];
    const send = async (request: (node: number) => Promise<JsonResponse>) =>
      answers.push(await request(this.anyNode()));
    for (const [jobId, { body, state }] of this.jobs) {
      if (state === 'done') await send((node) => this.service.requestCancellation(jobId, node));
      if (state === 'done' || state === 'cancelled') continue;
      await send((node) => this.service.post(body, node));
      await send((node) => this.service.post({ ...body, ...encodeSubmission({ cpus: 1e9, memoryGb: null }) }, node));
    }
    const [first] = this.jobs.values();
    if (first === undefined) return answers;
    const invalid = (n: number, fields: AnySubmissionFields) => ({
      ...first.body,
      ...encodeSubmission({ id: `j-odd${n}-${this.clock.now()}`, ...fields }),
    });
    for (const [n, fields] of INVALID_FIELDS.entries())
      await send((node) => this.service.post(invalid(n, fields), node));
    await send((node) => this.service.post([], node));
    await send((node) => this.service.requestStatus(`j-nobody-${this.clock.now()}`, node));
    return answers;
  }
}
