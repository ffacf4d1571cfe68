/** Which folder of `src` may import from which, without import cycles. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize, relative } from 'node:path';
import { describe, it } from 'node:test';

const SOURCE = 'src';
const BASE_FOLDERS = ['constants', 'domain', 'logging', 'net'];

/** The folders that each folder may import from, besides itself. */
const ALLOWED_IMPORTS: Readonly<Record<string, readonly string[]>> = {
  constants: [],
  domain: ['constants'],
  logging: ['constants', 'domain'],
  net: ['constants', 'domain', 'logging'],
  config: BASE_FOLDERS,
  store: BASE_FOLDERS,
  cloud: BASE_FOLDERS,
  records: [...BASE_FOLDERS, 'store'],
  gossip: [...BASE_FOLDERS, 'store', 'records'],
  leadership: [...BASE_FOLDERS, 'store', 'records', 'gossip'],
  workers: [...BASE_FOLDERS, 'store', 'records', 'gossip', 'leadership'],
  inventory: [...BASE_FOLDERS, 'store', 'cloud', 'records', 'leadership', 'workers'],
  scheduling: [...BASE_FOLDERS, 'store', 'records', 'leadership', 'workers', 'inventory'],
  autoscaling: [
    ...BASE_FOLDERS,
    ...['store', 'cloud', 'records', 'gossip', 'leadership', 'workers', 'inventory', 'scheduling'],
  ],
  jobs: [...BASE_FOLDERS, 'store', 'records', 'leadership'],
  api: [...BASE_FOLDERS, 'store', 'records', 'jobs'],
};

/** They connect all other modules and may import from every folder. */
const COMPOSITION_ROOTS = new Set(['controller', 'main.ts']);

const files = readdirSync(SOURCE, { recursive: true, encoding: 'utf8' }).filter((file) => file.endsWith('.ts'));

const importsOf = (file: string): string[] =>
  [...readFileSync(join(SOURCE, file), 'utf8').matchAll(/from '(\.{1,2}\/[^']+)\.js'/g)].map(
    ([, specifier]) => `${normalize(join(dirname(file), specifier!))}.ts`,
  );

const folderOf = (file: string): string => file.split('/')[0]!;

describe('an import', () => {
  it('goes only to a folder that the table allows', () => {
    const disallowed: string[] = [];
    for (const file of files) {
      const folder = folderOf(file);
      if (COMPOSITION_ROOTS.has(folder)) continue;
      const allowed = ALLOWED_IMPORTS[folder];
      assert.ok(allowed !== undefined, `${folder} is not in the table`);
      for (const target of importsOf(file)) {
        if (folderOf(target) !== folder && !allowed.includes(folderOf(target))) disallowed.push(`${file} -> ${target}`);
      }
    }
    assert.deepEqual(disallowed, []);
  });

  it('is not part of a cycle', () => {
    const state = new Map<string, 'open' | 'closed'>();
    const cycles: string[] = [];
    const visit = (file: string, path: readonly string[]): void => {
      if (state.get(file) === 'closed') return;
      if (state.get(file) === 'open') {
        cycles.push([...path.slice(path.indexOf(file)), file].join(' -> '));
        return;
      }
      state.set(file, 'open');
      for (const target of importsOf(file)) visit(target, [...path, file]);
      state.set(file, 'closed');
    };
    for (const file of files) visit(file, []);
    assert.deepEqual(cycles, []);
  });

  it('in src goes neither to fakes nor to tests', () => {
    const outside = files.flatMap((file) =>
      importsOf(file)
        .filter((target) => relative('.', target).startsWith('..'))
        .map((target) => `${file} -> ${target}`),
    );
    assert.deepEqual(outside, []);
  });
});
