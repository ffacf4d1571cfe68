/** The list of tests that are known to fail, KNOWN-RED.txt, and the verdict on a test run in view of it. */

/** A test that fails for a fault that is still open. */
export interface KnownRedTest {
  /** The title of the test with those of its suites, separated by ' > '. */
  test: string;
  command: string;
  seed: string;
  seen: string;
  issue: string;
}

/** More entries than this would hide the state of the program. */
const MAX_ENTRIES = 3;

const FIELDS = ['test', 'command', 'seed', 'seen', 'issue'] as const;

/** The entries of the file, and what is wrong with it. */
export interface KnownRedList {
  entries: KnownRedTest[];
  errors: string[];
}

/** Decodes the file: entries are separated by empty lines and have one `field: value` a line; '#' begins a comment. */
export function parseKnownRed(text: string): KnownRedList {
  const errors: string[] = [];
  const lines = text.split('\n').filter((line) => !line.startsWith('#'));
  const blocks = lines.join('\n').split(/\n\s*\n/);
  const entries = blocks.filter((block) => block.trim() !== '').map((block) => parseEntry(block, errors));
  if (entries.length > MAX_ENTRIES) errors.push(`${entries.length} entries, at most ${MAX_ENTRIES} are allowed`);
  return { entries, errors };
}

function parseEntry(block: string, errors: string[]): KnownRedTest {
  const entry: KnownRedTest = { test: '', command: '', seed: '', seen: '', issue: '' };
  for (const line of block.trim().split('\n')) {
    const [, name, value] = /^(\w+):\s*(.*)$/.exec(line) ?? [];
    const field = FIELDS.find((each) => each === name);
    if (field === undefined) errors.push(`not a field of an entry: ${line}`);
    else entry[field] = value!.trim();
  }
  for (const field of FIELDS) {
    if (entry[field] === '') errors.push(`the entry of '${entry.test}' lacks '${field}'`);
  }
  return entry;
}

/** The tests of a run, by their titles with those of their suites. */
export interface TestRun {
  executed: ReadonlySet<string>;
  failed: readonly string[];
}

/** The lines to print about a run, and whether it passes. */
export interface Verdict {
  isPassed: boolean;
  lines: string[];
}

/** A run passes if only listed tests have failed, and each entry names a test of the run. */
export function judge({ executed, failed }: TestRun, { entries, errors }: KnownRedList): Verdict {
  const listed = new Set(entries.map(({ test }) => test));
  const unknown = entries.filter(({ test }) => !executed.has(test)).map(({ test }) => `no such test: ${test}`);
  const unexpected = failed.filter((test) => !listed.has(test)).map((test) => `failed: ${test}`);
  const problems = [...errors, ...unknown, ...unexpected];
  const known = entries.map(({ test, seed, issue }) => {
    const state = failed.includes(test) ? 'failed' : 'passed';
    return `known red: ${test} (seed ${seed}, issue ${issue}): ${state}`;
  });
  return { isPassed: problems.length === 0, lines: [...known, ...problems] };
}
