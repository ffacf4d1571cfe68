/** Which folder of the program may import which: arrows point down the table, and no two files import each other in a circle. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize, relative } from 'node:path';
import { describe, it } from 'node:test';

const SOURCE = 'src';
const BELOW_ALL = ['constants', 'domain', 'logging', 'net'];

/** Every folder with the folders that it may import beside its own, and beside what lies below all. */
const MAY_IMPORT: Readonly<Record<string, readonly string[]>> = {
  constants: [],
  domain: ['constants'],
  logging: ['constants', 'domain'],
  net: ['constants', 'domain', 'logging'],
  config: BELOW_ALL,
  store: BELOW_ALL,
  cloud: BELOW_ALL,
  records: [...BELOW_ALL, 'store'],
  gossip: [...BELOW_ALL, 'store', 'records'],
  leadership: [...BELOW_ALL, 'store', 'records', 'gossip'],
  workers: [...BELOW_ALL, 'store', 'records', 'gossip', 'leadership'],
  inventory: [...BELOW_ALL, 'store', 'cloud', 'records', 'leadership', 'workers'],
  scheduling: [...BELOW_ALL, 'store', 'records', 'leadership', 'workers', 'inventory'],
  autoscaling: [
    ...BELOW_ALL,
    ...['store', 'cloud', 'records', 'gossip', 'leadership', 'workers', 'inventory', 'scheduling'],
  ],
  jobs: [...BELOW_ALL, 'store', 'records', 'leadership'],
  api: [...BELOW_ALL, 'store', 'records', 'jobs'],
};

/** They join all others. */
const COMPOSITION = new Set(['controller', 'main.ts']);

const files = readdirSync(SOURCE, { recursive: true, encoding: 'utf8' }).filter((file) => file.endsWith('.ts'));

const importsOf = (file: string): string[] =>
  [...readFileSync(join(SOURCE, file), 'utf8').matchAll(/from '(\.{1,2}\/[^']+)\.js'/g)].map(
    ([, specifier]) => `${normalize(join(dirname(file), specifier!))}.ts`,
  );

const folderOf = (file: string): string => file.split('/')[0]!;

describe('an import', () => {
  it('goes down the table of folders only', () => {
    const upward: string[] = [];
    for (const file of files) {
      const folder = folderOf(file);
      if (COMPOSITION.has(folder)) continue;
      const allowed = MAY_IMPORT[folder];
      assert.ok(allowed !== undefined, `${folder} is not in the table`);
      for (const target of importsOf(file)) {
        if (folderOf(target) !== folder && !allowed.includes(folderOf(target))) upward.push(`${file} -> ${target}`);
      }
    }
    assert.deepEqual(upward, []);
  });

  it('closes no circle', () => {
    const state = new Map<string, 'open' | 'closed'>();
    const circles: string[] = [];
    const visit = (file: string, path: readonly string[]): void => {
      if (state.get(file) === 'closed') return;
      if (state.get(file) === 'open') {
        circles.push([...path.slice(path.indexOf(file)), file].join(' -> '));
        return;
      }
      state.set(file, 'open');
      for (const target of importsOf(file)) visit(target, [...path, file]);
      state.set(file, 'closed');
    };
    for (const file of files) visit(file, []);
    assert.deepEqual(circles, []);
  });

  it('of the program reaches neither stand-ins nor tests', () => {
    const outside = files.flatMap((file) =>
      importsOf(file)
        .filter((target) => relative('.', target).startsWith('..'))
        .map((target) => `${file} -> ${target}`),
    );
    assert.deepEqual(outside, []);
  });
});
