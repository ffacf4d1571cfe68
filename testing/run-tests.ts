/** Runs the compiled test files, `node run-tests.js FILE...`, and passes over just the tests that KNOWN-RED.txt lists. */
import { existsSync, readFileSync } from 'node:fs';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

import { judge, parseKnownRed } from './known-red.js';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';

interface TestEvent {
  name: string;
  nesting: number;
  file?: string;
  details?: { type?: string; error?: { failureType?: string } };
}

const executed = new Set<string>();
const failed: string[] = [];
/** The titles of the started tests of each file, from the outermost suite inwards. */
const titlesByFile = new Map<string, string[]>();

function titleOf({ name, nesting, file }: TestEvent): string {
  const outer = titlesByFile.get(file ?? '') ?? [];
  return [...outer.slice(0, nesting), name].join(' > ');
}

const stream = run({ files: process.argv.slice(2), concurrency: true });
stream.on('test:start', (event: TestEvent) => {
  const titles = (titlesByFile.get(event.file ?? '') ?? []).slice(0, event.nesting);
  titlesByFile.set(event.file ?? '', [...titles, event.name]);
});
stream.on('test:pass', (event: TestEvent) => void executed.add(titleOf(event)));
stream.on('test:fail', (event: TestEvent) => {
  const title = titleOf(event);
  executed.add(title);
  // The failure of a suite is that of the tests in it.
  if (event.details?.error?.failureType !== 'subtestsFailed') failed.push(title);
});
stream.on('end', () => {
  const list = parseKnownRed(existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, 'utf8') : '');
  const { isPassed, lines } = judge({ executed, failed }, list);
  process.once('exit', () => {
    process.stdout.write(lines.map((line) => `${line}\n`).join(''));
    process.exitCode = isPassed ? 0 : 1;
  });
});
const report = stream.compose(new spec()) as NodeJS.ReadableStream;
report.pipe(process.stdout);
