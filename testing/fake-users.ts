/** A stand-in of the users of a cluster. */
import type { HttpAnswer } from '../src/net/http-answer.js';
import type { Random } from '../src/net/random.js';
import type { FakeClock } from './fake-clock.js';
import { decodeJobState, type JobState } from './job-status-wire-codec.js';
import { type AnySubmissionFields, decodeSubmission, encodeSubmission } from './submission-wire-codec.js';

/** ms for which a user repeats a request, and between two questions about a job. */
const RETRY_MS = 60_000;
const POLL_MS = 5000;
/** ms between two looks at a job that is over. */
const LATER_MS = 20_000;

/** Fields that no controller accepts. */
const ODD_FIELDS: AnySubmissionFields[] = [
  { cpus: 1e6 },
  { team: 'nobody' },
  { taskCount: undefined },
  { priority: 'odd' },
  { gpus: -1 },
];

/** The requests of a cluster that users send to a node. */
export interface Service {
  nodes: number;
  isHealthy(node: number): boolean;
  post(body: unknown, node: number): Promise<HttpAnswer>;
  requestStatus(jobId: string, node: number): Promise<HttpAnswer>;
  requestCancellation(jobId: string, node: number): Promise<HttpAnswer>;
}

/** Users as the protocol describes them: they repeat what fails, go on asking, and some ask for odd things. */
export class FakeUsers {
  /** Jobs that were accepted, with what was submitted and what was last heard. */
  readonly jobs = new Map<string, { body: object; state: JobState }>();

  constructor(
    private readonly service: Service,
    private readonly clock: FakeClock,
    private readonly random: Random,
  ) {}

  /** What the load balancer does: any node that is healthy. */
  private anyNode(): number {
    const all = Array.from({ length: this.service.nodes }, (_, node) => node);
    const healthy = all.filter((node) => this.service.isHealthy(node));
    const choice = healthy.length > 0 ? healthy : all;
    return choice[this.random.below(choice.length)]!;
  }

  private async repeat(request: (node: number) => Promise<HttpAnswer>): Promise<HttpAnswer> {
    const end = this.clock.now() + RETRY_MS;
    for (;;) {
      const answer = await request(this.anyNode());
      if ([200, 201, 400, 404, 422].includes(answer.status) || this.clock.now() > end) return answer;
      await this.clock.sleep(Math.max(1, Math.min(30, answer.retryAfter ?? 0)) * 1000);
    }
  }

  /** Submits a job until that is decided, and then asks about it for ever. */
  async submit(body: object): Promise<HttpAnswer> {
    const answer = await this.repeat((node) => this.service.post(body, node));
    const { id } = decodeSubmission(body);
    if (answer.status > 201 || answer.status === 0 || this.jobs.has(id)) return answer;
    this.jobs.set(id, { body, state: 'queued' });
    void this.follow(id);
    return answer;
  }

  async cancelJob(jobId: string): Promise<HttpAnswer> {
    const answer = await this.repeat((node) => this.service.requestCancellation(jobId, node));
    this.noteState(jobId, answer);
    return answer;
  }

  private noteState(jobId: string, answer: HttpAnswer): void {
    const job = this.jobs.get(jobId);
    if (job !== undefined && answer.status === 200) job.state = decodeJobState(answer.body)!;
  }

  private async follow(jobId: string): Promise<void> {
    const job = this.jobs.get(jobId)!;
    for (;;) {
      const isOver = job.state === 'done' || job.state === 'cancelled';
      await this.clock.sleep(this.random.jitter(isOver ? LATER_MS : POLL_MS));
      this.noteState(jobId, await this.service.requestStatus(jobId, this.anyNode()));
    }
  }

  /**
   * Odd requests, one after the other: submissions of unfinished jobs are repeated, also malformed; jobs that are done are
   * cancelled; jobs come that fit no machine or lack a field; and somebody asks about a job that nobody knows.
   */
  async sendOddRequests(): Promise<HttpAnswer[]> {
    const answers: HttpAnswer[] = [];
    const one = async (request: (node: number) => Promise<HttpAnswer>) => answers.push(await request(this.anyNode()));
    for (const [jobId, { body, state }] of this.jobs) {
      if (state === 'done') await one((node) => this.service.requestCancellation(jobId, node));
      if (state === 'done' || state === 'cancelled') continue;
      await one((node) => this.service.post(body, node));
      await one((node) => this.service.post({ ...body, ...encodeSubmission({ cpus: 1e9, memoryGb: null }) }, node));
    }
    const [first] = this.jobs.values();
    if (first === undefined) return answers;
    const odd = (n: number, fields: AnySubmissionFields) => ({
      ...first.body,
      ...encodeSubmission({ id: `j-odd${n}-${this.clock.now()}`, ...fields }),
    });
    for (const [n, fields] of ODD_FIELDS.entries()) await one((node) => this.service.post(odd(n, fields), node));
    await one((node) => this.service.post([], node));
    await one((node) => this.service.requestStatus(`j-nobody-${this.clock.now()}`, node));
    return answers;
  }
}
