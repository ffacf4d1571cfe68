/**
 * Bundles the compiled program and its libraries into one file from which a startup snapshot can be built. Modules of
 * Node.js that can't be part of a snapshot are loaded at their first use instead of at startup.
 */
import { createRequire } from 'node:module';

import { build } from 'esbuild';

const ENTRY = 'target/main.js';
const OUTPUT = 'target/dewlatch.cjs';
const TRACING_ENTRY = 'packages/standby/target/tracing.js';
const TRACING_OUTPUT = 'target/tracing.cjs';

/** Modules that Node.js 20 can't load, or loads only with a warning, while it builds a snapshot. */
const LOADED_ON_USE = [
  'child_process',
  'crypto',
  'http',
  'module',
  'net',
  'perf_hooks',
  'timers/promises',
  'worker_threads',
  'zlib',
];

const NAMESPACE = 'loaded-on-use';
const requireHere = createRequire(import.meta.url);

/** The source of a proxy with the exports of a Node.js module, which it loads when one of them is first read. */
function loadedOnUse(name) {
  const exported = Object.keys(requireHere(`node:${name}`));
  return [
    'let loaded;',
    `const load = () => (loaded ??= require("node:${name}"));`,
    ...exported.map(
      (each) => `Object.defineProperty(exports, "${each}", { enumerable: true, get: () => load().${each} });`,
    ),
  ].join('\n');
}

const loadOnUse = {
  name: NAMESPACE,
  setup({ onLoad, onResolve }) {
    const filter = new RegExp(`^(node:)?(${LOADED_ON_USE.join('|')})$`);
    onResolve({ filter }, ({ path, namespace }) =>
      namespace === NAMESPACE ? { path, external: true } : { path: path.replace('node:', ''), namespace: NAMESPACE },
    );
    onLoad({ filter: /.*/, namespace: NAMESPACE }, ({ path }) => ({ contents: loadedOnUse(path), loader: 'js' }));
  },
};

const bundle = { bundle: true, platform: 'node', format: 'cjs', logLevel: 'warning' };
await build({ ...bundle, entryPoints: [ENTRY], outfile: OUTPUT, plugins: [loadOnUse] });
// Loaded at run time and only if tracing is enabled, so it is not part of the snapshot.
await build({ ...bundle, entryPoints: [TRACING_ENTRY], outfile: TRACING_OUTPUT });
