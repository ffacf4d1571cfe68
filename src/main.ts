#!/usr/bin/env node
/** The entry point: command-line flags, settings and signals of one controller process. */
import { setMaxListeners } from 'node:events';
import { startupSnapshot } from 'node:v8';

import { Command, CommanderError } from 'commander';

import { loadSettings, loadTuning, SettingsError } from './config/load-settings.js';
import { HTTP_CLIENT_SOCKET_SHARE } from './constants/api.js';
import { VERSION } from './constants/program.js';
import { Controller } from './controller/controller.js';
import { createLog, type Log } from './logging/log.js';
import { systemClock } from './net/clock.js';
import { NodeHttpClient } from './net/http-client.js';

const EXIT_BAD_INPUT = 2;

interface Options {
  config: string;
  tuning?: string;
  check?: boolean;
}

function parseOptions(): Options {
  const command = new Command('dewlatch')
    .description('A cluster scheduler that keeps service tasks happy by stable re-matching')
    .version(VERSION)
    .requiredOption('--config <file>', "the platform's settings, JSON")
    .option('--tuning <file>', "the operators' own settings, TOML (also DEWLATCH_TUNING)")
    .option('--check', 'check the settings and exit')
    .exitOverride();
  try {
    command.parse();
  } catch (error) {
    if (error instanceof CommanderError) process.exit(error.exitCode === 0 ? 0 : EXIT_BAD_INPUT);
    throw error;
  }
  return command.opts<Options>();
}

function loadOrExit(options: Options) {
  try {
    return {
      settings: loadSettings(options.config),
      tuning: loadTuning(options.tuning ?? process.env.DEWLATCH_TUNING),
    };
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`dewlatch: ${error.message}\n`);
    process.exit(EXIT_BAD_INPUT);
  }
}

/** Logs unhandled errors instead of exiting, unless the address is in use: the records are safe, and periodic tasks run again. */
function logUnhandledErrors(log: Log): void {
  process.on('unhandledRejection', (error) =>
    log.error({ error: (error as Error)?.stack ?? String(error) }, 'unhandled promise rejection'),
  );
  process.on('uncaughtException', (error) => {
    log.error({ error: error.stack ?? String(error) }, 'uncaught exception');
    if ((error as NodeJS.ErrnoException).code === 'EADDRINUSE') process.exit(1);
  });
}

/** Returns a signal that aborts once the process has received SIGTERM or SIGINT and handed over its roles. */
function stopSignal(handOver: () => Promise<void>): AbortSignal {
  const stop = new AbortController();
  const handOverAndStop = () => void handOver().finally(() => stop.abort());
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, handOverAndStop);
  setMaxListeners(0, stop.signal);
  return stop.signal;
}

function main(): void {
  const options = parseOptions();
  const { settings, tuning } = loadOrExit(options);
  if (options.check === true) {
    process.stdout.write('settings are good\n');
    process.exit(0);
  }
  const log = createLog(settings.node, process.env.LOG_LEVEL);
  logUnhandledErrors(log);
  const { storeAddress, cloudAddress, cluster } = settings;
  const http = new NodeHttpClient({
    maxSockets: Math.floor(cluster.sockets * HTTP_CLIENT_SOCKET_SHARE),
    essentialAddresses: [storeAddress, cloudAddress],
  });
  const controller = new Controller({ settings, tuning, http, clock: systemClock, log });
  const stop = stopSignal(() => controller.handOver());
  controller.run(stop).then(
    () => http.close(),
    (error: unknown) => {
      log.error({ error: (error as Error)?.stack ?? String(error) }, 'controller failed, exiting');
      process.exit(1);
    },
  );
}

// Building the snapshot loads and evaluates all modules once: at startup, at 5 % of a core, that would take over a second.
if (startupSnapshot.isBuildingSnapshot()) startupSnapshot.setDeserializeMainFunction(main);
else main();
