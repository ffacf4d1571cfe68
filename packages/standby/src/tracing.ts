/**
 * Records takeovers as OpenTelemetry traces, one per takeover across both nodes: the trace id is derived from the role and the
 * former fencing token, which both nodes know, so no trace context is sent. Loaded only if tracing is enabled.
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
/** Values of the SDK's `ExportResultCode`. */
const EXPORT_SUCCESS = 0;
const EXPORT_FAILED = 1;

/** Appends each span to a file as one line of JSON. */
class JsonLinesExporter implements SpanExporter {
  constructor(
    private readonly file: string,
    private readonly node: string,
  ) {}

  export(spans: ReadableSpan[], done: (result: { code: number; error?: Error }) => void): void {
    try {
      appendFileSync(this.file, spans.map((span) => `${JSON.stringify(this.toJson(span))}\n`).join(''));
      done({ code: EXPORT_SUCCESS });
    } catch (error) {
      done({ code: EXPORT_FAILED, error: error as Error });
    }
  }

  private toJson(span: ReadableSpan): object {
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

/** The common parent context of the spans that both nodes record for one takeover. */
function parentContextOf(role: string, formerFencingToken: number | bigint): Context {
  const digest = createHash('sha256').update(`${role} ${formerFencingToken}`).digest('hex');
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId: digest.slice(0, TRACE_ID_DIGITS),
    spanId: digest.slice(TRACE_ID_DIGITS, TRACE_ID_DIGITS + SPAN_ID_DIGITS),
    traceFlags: TraceFlags.SAMPLED,
    isRemote: true,
  });
}

/** The steps at which each span starts and ends; the first span starts when the former leader was last heard from. */
const STEP_SPANS: readonly { name: string; from: TakeoverStep | undefined; to: TakeoverStep }[] = [
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
    /** Converts monotonic ms to wall-clock ms. */
    private readonly toWallClockMs: (monotonicMs: number) => number,
  ) {
    const spanProcessors = [new SimpleSpanProcessor(new JsonLinesExporter(file, node))];
    this.tracer = new BasicTracerProvider({ spanProcessors }).getTracer('dewlatch.standby');
  }

  takeoverFinished(report: TakeoverReport): void {
    const { role, formerLeader, formerFencingToken, steps } = report;
    const vacantAt = steps.get('vacant')!;
    const begin = Number.isFinite(report.lastSeenAt) ? report.lastSeenAt : vacantAt;
    const end = Math.max(...steps.values());
    // Attributes of spans have no type for large integers.
    const tokenAttribute = typeof formerFencingToken === 'bigint' ? String(formerFencingToken) : formerFencingToken;
    const attributes = { role, formerLeader, formerFencingToken: tokenAttribute };
    const takeoverSpan = this.tracer.startSpan(
      'takeover',
      { startTime: this.toWallClockMs(begin), attributes },
      parentContextOf(role, formerFencingToken),
    );
    const takeoverContext = trace.setSpan(ROOT_CONTEXT, takeoverSpan);
    for (const { name, from, to } of STEP_SPANS) {
      const startAt = from === undefined ? begin : steps.get(from);
      const endAt = steps.get(to);
      if (startAt === undefined || endAt === undefined) continue;
      this.tracer
        .startSpan(name, { startTime: this.toWallClockMs(startAt) }, takeoverContext)
        .end(this.toWallClockMs(endAt));
    }
    takeoverSpan.end(this.toWallClockMs(end));
  }

  leadershipLost(loss: LeadershipLoss): void {
    const { role, fencingToken, leaseConfirmedAt, noticedAt } = loss;
    const startTime = this.toWallClockMs(leaseConfirmedAt);
    const span = this.tracer.startSpan(
      'leadership lost',
      { startTime, attributes: { role } },
      parentContextOf(role, fencingToken),
    );
    span.end(this.toWallClockMs(noticedAt));
  }
}

/** Creates a tracer that appends to the file; `toWallClockMs` converts monotonic ms to wall-clock ms. */
export const createTakeoverTracer = (
  file: string,
  node: string,
  toWallClockMs: (monotonicMs: number) => number,
): TakeoverTracer => new OpenTelemetryTracer(file, node, toWallClockMs);
