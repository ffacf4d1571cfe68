/** Default settings, jobs and machine types for scenarios. */
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

/** A log that discards everything. */
export const noLog: Log = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

/** Configuration of a scenario's cluster. */
export interface ClusterOptions {
  nodes?: number;
  teams?: object[];
  cluster?: object;
  tuning?: Partial<Omit<TuningFile, 'standby'>>;
  /** Settings of the warm standby that differ from the defaults. */
  standby?: Partial<StandbySettings>;
  /** Further such settings of a single node. */
  standbyOf?: (node: number) => Partial<StandbySettings>;
  /** Zone of each node; `a` if absent. */
  locations?: readonly string[];
  /** The machine types that the cloud offers. */
  machineTypes?: CatalogEntry[];
  /** Boot time of rented machines, ms; without it they never come up. */
  bootMs?: number;
  /** The version of the program that all nodes run at first; the current one if absent. */
  version?: ProgramVersion;
  /** Duration of tasks on rented machines, ms. */
  runMs?: number;
  /** What is added to all revisions and leases of the store; 0 if absent. */
  revisionOffset?: bigint;
}

/** A machine type with eight CPUs. */
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

/** The settings of one of the controllers, as its settings file holds them. */
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

/** A submission of one task; `jobOf` overrides its fields. */
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

/** The body of a submission with the given fields; all others have default values. */
export const jobOf = (fields: Partial<Submission>): object => encodeSubmission({ ...DEFAULT_SUBMISSION, ...fields });

/** The default submission with fields added under their wire names, for tests of raw and malformed bodies. */
export const rawJobOf = (wireFields: object): object => ({ ...jobOf({}), ...wireFields });

/** The decoded spec of a job with the given fields. */
export const specOf = (fields: Partial<Submission>): JobSpec => decodeJobSpec(jobOf(fields) as WireJobSpec);

/** Limits of a transaction for tests that do not depend on them. */
export const anyTransactionLimits = (fields: Partial<TransactionLimits> = {}): TransactionLimits => ({
  writes: 12,
  batchWrites: 12,
  conditions: 48,
  bytes: 60_000,
  valueBytes: 65_536,
  strictestValueBytes: 65_536,
  ...fields,
});
