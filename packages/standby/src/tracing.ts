/**
 * Takeovers as OpenTelemetry traces, one a takeover across both nodes: the trace id is computed from the role and the former
 * fencing token, which both know, so nothing has to be sent. A module of its own, loaded only where tracing is on.
 */
import { createHash } from 'node:crypto';
import { appendFileSync } from 'node:fs';

import { type Context, type HrTime, ROOT_CONTEXT, trace, TraceFlags, type Tracer } from '@opentelemetry/api';
import {
  BasicTracerProvider,
  type ReadableSpan,
  SimpleSpanProcessor,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-base';

import type { TakeoverReport, TakeoverStep } from './takeover-timeline.js';
import type { LeadershipLoss, TakeoverTracer } from './takeover-tracer.js';

const TRACE_ID_DIGITS = 32;
const SPAN_ID_DIGITS = 16;
/** `ExportResultCode` of the SDK. */
const SUCCESS = 0;
const FAILED = 1;

/** Writes each span as one line of JSON. */
class JsonLinesExporter implements SpanExporter {
  constructor(
    private readonly file: string,
    private readonly node: string,
  ) {}

  export(spans: ReadableSpan[], done: (result: { code: number; error?: Error }) => void): void {
    try {
      appendFileSync(this.file, spans.map((span) => `${JSON.stringify(this.describe(span))}\n`).join(''));
      done({ code: SUCCESS });
    } catch (error) {
      done({ code: FAILED, error: error as Error });
    }
  }

  private describe(span: ReadableSpan): object {
    const { traceId, spanId } = span.spanContext();
    return {
      traceId,
      spanId,
      parentSpanId: span.parentSpanContext?.spanId,
      name: span.name,
      node: this.node,
      startMs: toMilliseconds(span.startTime),
      endMs: toMilliseconds(span.endTime),
      attributes: span.attributes,
    };
  }

  shutdown(): Promise<void> {
    return Promise.resolve();
  }
}

const toMilliseconds = ([seconds, nanoseconds]: HrTime): number => seconds * 1000 + nanoseconds / 1e6;

/** The parent context of both nodes' spans of one takeover. */
function contextOf(role: string, formerFencingToken: number): Context {
  const digest = createHash('sha256').update(`${role} ${formerFencingToken}`).digest('hex');
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId: digest.slice(0, TRACE_ID_DIGITS),
    spanId: digest.slice(TRACE_ID_DIGITS, TRACE_ID_DIGITS + SPAN_ID_DIGITS),
    traceFlags: TraceFlags.SAMPLED,
    isRemote: true,
  });
}

/** The steps between which each span lies; the first begins when the former leader was last heard from. */
const SPANS: readonly { name: string; from: TakeoverStep | undefined; to: TakeoverStep }[] = [
  { name: 'detection', from: undefined, to: 'vacant' },
  { name: 'acquisition', from: 'vacant', to: 'acquired' },
  { name: 'records complete', from: 'acquired', to: 'records_complete' },
  { name: 'first worker answered', from: 'acquired', to: 'worker_answered' },
  { name: 'first decision', from: 'acquired', to: 'decided' },
];

class OpenTelemetryTracer implements TakeoverTracer {
  private readonly tracer: Tracer;

  constructor(
    file: string,
    node: string,
    /** Time of day, ms, of a moment of the steady clock. */
    private readonly wallOf: (steadyMs: number) => number,
  ) {
    const spanProcessors = [new SimpleSpanProcessor(new JsonLinesExporter(file, node))];
    this.tracer = new BasicTracerProvider({ spanProcessors }).getTracer('dewlatch.standby');
  }

  takeoverFinished(report: TakeoverReport): void {
    const { role, formerLeader, formerFencingToken, steps } = report;
    const vacantAt = steps.get('vacant')!;
    const begin = Number.isFinite(report.lastSeenAt) ? report.lastSeenAt : vacantAt;
    const end = Math.max(...steps.values());
    const attributes = { role, formerLeader, formerFencingToken };
    const takeoverSpan = this.tracer.startSpan(
      'takeover',
      { startTime: this.wallOf(begin), attributes },
      contextOf(role, formerFencingToken),
    );
    const takeoverContext = trace.setSpan(ROOT_CONTEXT, takeoverSpan);
    for (const { name, from, to } of SPANS) {
      const startAt = from === undefined ? begin : steps.get(from);
      const endAt = steps.get(to);
      if (startAt === undefined || endAt === undefined) continue;
      this.tracer.startSpan(name, { startTime: this.wallOf(startAt) }, takeoverContext).end(this.wallOf(endAt));
    }
    takeoverSpan.end(this.wallOf(end));
  }

  leadershipLost(loss: LeadershipLoss): void {
    const { role, fencingToken, leaseConfirmedAt, noticedAt } = loss;
    const startTime = this.wallOf(leaseConfirmedAt);
    const span = this.tracer.startSpan(
      'leadership lost',
      { startTime, attributes: { role } },
      contextOf(role, fencingToken),
    );
    span.end(this.wallOf(noticedAt));
  }
}

/** Creates a tracer that appends to the file; `wallOf` maps the steady clock to the time of day, ms. */
export const createTakeoverTracer = (
  file: string,
  node: string,
  wallOf: (steadyMs: number) => number,
): TakeoverTracer => new OpenTelemetryTracer(file, node, wallOf);
