/**
 * Extracts the version that runs in production, as named by `deploy/service.toml`, to `target/production`, and compiles it
 * with its fakes, for scenarios in which its processes run side by side with those of the current version.
 */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, rmSync, symlinkSync } from 'node:fs';

import { parse } from 'smol-toml';

const FOLDER = 'target/production';
const run = (command, args, options = {}) =>
  execFileSync(command, args, { stdio: ['pipe', 'pipe', 'inherit'], ...options });

const { production } = parse(readFileSync('deploy/service.toml', 'utf8'));
rmSync(FOLDER, { recursive: true, force: true });
mkdirSync(FOLDER, { recursive: true });
const sources = run(
  'git',
  ['archive', production, 'src', 'test', 'package.json', 'tsconfig.json', 'tsconfig.test.json'],
  {
    maxBuffer: Infinity,
  },
);
run('tar', ['-x', '-C', FOLDER], { input: sources });
if (!existsSync(`${FOLDER}/node_modules`)) symlinkSync('../../node_modules', `${FOLDER}/node_modules`);
run('npx', ['tsc', '-p', 'tsconfig.test.json'], { cwd: FOLDER });
console.log(`${production} is compiled in ${FOLDER}`);
