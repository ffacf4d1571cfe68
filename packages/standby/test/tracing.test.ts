import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';

import { stepDurations, type TakeoverReport, TakeoverTimeline } from '../src/index.js';
import { createTakeoverTracer } from '../src/tracing.js';

interface SpanLine {
  traceId: string;
  spanId: string;
  parentSpanId: string;
  name: string;
  node: string;
  startMs: number;
  endMs: number;
}

/** Simulates a takeover of the cluster leadership, which becomes vacant 3 s after its leader was last heard from. */
function completeTakeover(): TakeoverReport {
  let time = 10_000;
  const reports: TakeoverReport[] = [];
  const timeline = new TakeoverTimeline(
    () => time,
    (report) => reports.push(report),
  );
  timeline.recordStep('leader', 'decided');
  timeline.startTakeover('leader', { formerLeader: 'n0', formerFencingToken: 41, lastSeenAt: 7000 });
  timeline.recordStep('leader', 'decided');
  for (const step of ['acquired', 'records_complete', 'decided'] as const) {
    time += 20;
    timeline.recordStep('leader', step);
    timeline.recordStep('leader', step);
  }
  assert.equal(reports.length, 1);
  return reports[0]!;
}

describe('the timeline of a takeover', () => {
  it('measures steps from when the former leader was last heard from, and ignores those before the acquisition', () => {
    const expected = { vacant: 3000, acquired: 3020, records_complete: 3040, decided: 3060 };
    assert.deepEqual(stepDurations(completeTakeover()), expected);
  });

  it('reports nothing for a role that another node has acquired', () => {
    let time = 0;
    let reports = 0;
    const timeline = new TakeoverTimeline(
      () => time,
      () => reports++,
    );
    timeline.startTakeover('leader', { formerLeader: 'n0', formerFencingToken: 41, lastSeenAt: 0 });
    timeline.acquiredElsewhere('leader');
    time += 60_000;
    timeline.expire();
    assert.equal(reports, 0);
  });
});

describe('the trace of a takeover', () => {
  it('is shared by both nodes and has a span for each step', () => {
    const folder = mkdtempSync(join(tmpdir(), 'dewlatch-trace-'));
    const file = join(folder, 'spans.jsonl');
    const toWallClockMs = (monotonicMs: number) => 1_700_000_000_000 + monotonicMs;
    createTakeoverTracer(file, 'n1', toWallClockMs).takeoverFinished(completeTakeover());
    const loss = { role: 'leader', fencingToken: 41, leaseConfirmedAt: 7000, noticedAt: 12_000 };
    createTakeoverTracer(file, 'n0', toWallClockMs).leadershipLost(loss);
    const lines = readFileSync(file, 'utf8').trim().split('\n');
    rmSync(folder, { recursive: true });
    const spans = lines.map((line) => JSON.parse(line) as SpanLine);
    assert.equal(new Set(spans.map(({ traceId }) => traceId)).size, 1);
    assert.deepEqual(spans.map(({ node, name }) => `${node} ${name}`).sort(), [
      'n0 leadership lost',
      'n1 acquisition',
      'n1 detection',
      'n1 first decision',
      'n1 records complete',
      'n1 takeover',
    ]);
    const takeoverSpan = spans.find(({ name }) => name === 'takeover')!;
    assert.equal(takeoverSpan.endMs - takeoverSpan.startMs, 3060);
    const stepSpans = spans.filter(({ parentSpanId }) => parentSpanId === takeoverSpan.spanId);
    assert.equal(stepSpans.length, 4);
    assert.equal(spans.find(({ node }) => node === 'n0')!.parentSpanId, takeoverSpan.parentSpanId);
  });
});
