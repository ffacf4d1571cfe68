/** Answers workers' reports, also those that one node passes on to another. */
import type { Answer } from '../api/jobs.js';
import type { Relay, RelayAnswer } from '../mesh/messages.js';
import type { Relays } from '../mesh/relays.js';
import { decodeReport } from '../workers/report.js';
import type { Log } from './log.js';
import type { Owner } from './owner.js';

export interface ReportServiceDependencies {
  node: string;
  owner: Owner;
  relays: Relays;
  log: Log;
  /** A worker came here that another node owns: the others wait for that before they take it for dead. */
  onMisdirected: () => void;
}

export class ReportService {
  constructor(private readonly dependencies: ReportServiceDependencies) {}

  /** Answers a report that a worker has sent to this node. */
  answer(body: unknown): Answer | Promise<Answer> {
    const { owner, onMisdirected } = this.dependencies;
    const report = decodeReport(body);
    if (report === undefined) return { status: 400, body: { error: 'not a report' } };
    const wasMisdirected = owner.misdirected.has(report.host);
    const answer = owner.hello(report);
    if (!wasMisdirected && owner.misdirected.has(report.host)) onMisdirected();
    // It has been sent to its owner before and is back: it can't get there, but this node may.
    if (answer.status === 421 && answer.again && answer.body.Steward !== undefined) {
      return this.relay(answer.body.Steward, body);
    }
    return answer;
  }

  private async relay(owner: string, body: unknown): Promise<Answer> {
    const answer = await this.dependencies.relays.ask(owner, body);
    const orders = answer?.status === 200 ? parseJson(answer.body) : undefined;
    if (orders === undefined) return { status: 421, body: { Steward: owner } };
    return { status: 200, body: orders };
  }

  /** Answers a report that another node has passed on; undefined: it can't be read. */
  answerRelayed({ node: sender, id, report: text }: Relay): RelayAnswer | undefined {
    const { node, owner, log } = this.dependencies;
    const report = decodeReport(parseJson(text));
    if (report === undefined) {
      log.warn({ from: sender }, 'relayed report can not be read');
      return undefined;
    }
    const { status, body } = owner.hello(report, sender);
    return { node, id, status, body: JSON.stringify(body) };
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
