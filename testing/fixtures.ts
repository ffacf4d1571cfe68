/** Settings, jobs and machine types that scenarios start from. */
import type { StandbySettings } from '@dewlatch/standby';

import { parseSettingsFile } from '../src/config/load-settings.js';
import type { SettingsFile, TuningFile } from '../src/config/settings-file-codec.js';
import type { JobSpec } from '../src/domain/job.js';
import type { MachineType } from '../src/domain/machine-type.js';
import type { Log } from '../src/logging/log.js';
import { decodeJobSpec, type WireJobSpec } from '../src/records/job-spec-codec.js';
import type { TransactionLimits } from '../src/store/transaction-draft.js';
import type { CatalogEntry } from './fake-cloud-wire-codec.js';
import type { ProgramVersion } from './program-version.js';
import { encodeSubmission, type Submission } from './submission-wire-codec.js';

/** A log that keeps nothing. */
export const noLog: Log = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

/** What a scenario's cluster is made of. */
export interface ClusterOptions {
  nodes?: number;
  teams?: object[];
  cluster?: object;
  tuning?: Partial<Omit<TuningFile, 'standby'>>;
  /** Settings of the warm standby that differ from the defaults. */
  standby?: Partial<StandbySettings>;
  /** The same for one node. */
  standbyOf?: (node: number) => Partial<StandbySettings>;
  /** Zones of the nodes; all in `a` if left out. */
  locations?: readonly string[];
  /** The cloud's catalogue. */
  machineTypes?: CatalogEntry[];
  /** Rented machines are up after so many ms; without it they never are. */
  bootMs?: number;
  /** The version of the program that all nodes run at first; the present one if it is not given. */
  version?: ProgramVersion;
  /** How long tasks run on rented machines. */
  runMs?: number;
}

/** A machine type of eight CPUs. */
export const C8: MachineType = {
  name: 'c8',
  cpus: 8,
  gpus: 0,
  memoryGb: 64,
  imageCacheGb: 50,
  fetchGbPerS: 1,
  hourlyPrice: 1,
  spotHourlyPrice: 0.3,
  bootS: 30,
  zones: ['a', 'b', 'c'],
};

/** The settings file of one of the controllers. */
export function settingsFileOf(node: number, nodes: number, options: ClusterOptions = {}): SettingsFile {
  const all = Array.from({ length: nodes }, (_, index) => index);
  return parseSettingsFile(
    JSON.stringify({
      node: `n${node}`,
      location: options.locations?.[node] ?? 'a',
      bind: `n${node}:8080`,
      mesh_addr: `n${node}:8081`,
      peers: all
        .filter((each) => each !== node)
        .map((each) => ({
          node: `n${each}`,
          location: options.locations?.[each] ?? 'a',
          address: `n${each}:8081`,
        })),
      outside: { cloud: 'cloud:1', state: 'store:1' },
      cluster: {
        size: nodes,
        zones: ['a', 'b', 'c'],
        teams: options.teams ?? [{ name: 'red', cpus: 16, cpus_max: 48 }],
        workers: { report_s: 1, lease_s: 10, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 36 },
        state: { rps: 500, write_rps: 200, value_kb: 4, txn_ops: 12 },
        cloud: { rps: 8, list_lag_s: 2 },
        ...options.cluster,
      },
    }),
    'test',
  );
}

/** A job of one task, under the field names that `jobOf` takes. */
export const DEFAULT_SUBMISSION: Submission = {
  id: 'j-000001',
  jobClass: 'web',
  team: 'red',
  kind: 'array',
  priority: 'normal',
  taskCount: 1,
  cpus: 2,
  gpus: 0,
  memoryGb: 4,
  image: 'img-1',
  imageGb: 1,
  singleZone: false,
  spreadAcrossZones: false,
  allowsSpot: false,
  estimatedRunS: 10,
  checkpointIntervalS: 0,
  checkpointS: 0,
};

/** The body of a submission, complete but for the fields that a scenario cares for. */
export const jobOf = (fields: Partial<Submission>): object => encodeSubmission({ ...DEFAULT_SUBMISSION, ...fields });

/** The same with fields under their wire names, for tests of raw and malformed bodies. */
export const rawJobOf = (wireFields: object): object => ({ ...jobOf({}), ...wireFields });

/** The job as the program works with it. */
export const specOf = (fields: Partial<Submission>): JobSpec => decodeJobSpec(jobOf(fields) as WireJobSpec);

/** Room in a transaction, where a test does not care for it. */
export const anyTransactionLimits = (fields: Partial<TransactionLimits> = {}): TransactionLimits => ({
  writes: 12,
  batchWrites: 12,
  conditions: 48,
  bytes: 60_000,
  valueBytes: 65_536,
  lastingValueBytes: 65_536,
  ...fields,
});
