/**
 * Schemas of the platform's settings file (JSON) and the operators' settings file (TOML), and the conversion of their fields to
 * the names and units of the program.
 */
import { StandbySettingsSchema } from '@dewlatch/standby';
import * as v from 'valibot';

import { DEFAULT_TUNING } from '../constants/scheduling.js';
import type { ServiceLevelObjective, Settings, StoreLimits, StoreSettings, WorkerTimings } from '../domain/settings.js';
import type { Team } from '../domain/team.js';
import type { Tuning } from './tuning.js';

const MS_PER_S = 1000;
const BYTES_PER_KB = 1024;

const text = v.pipe(v.string(), v.minLength(1));
const address = v.pipe(v.string(), v.regex(/^[^\s:]+:\d{1,5}$/, 'must be HOST:PORT'));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));

const TeamSchema = v.object({
  name: text,
  cpus: v.optional(amount, 0),
  cpus_max: v.optional(amount, 0),
  gpus: v.optional(amount, 0),
  gpus_max: v.optional(amount, 0),
});

const ObjectiveSchema = v.object({
  kind: v.string(),
  class: v.optional(v.string()),
  within_s: v.optional(v.number()),
  times: v.optional(v.number()),
});

/** Requests and writes per second, KB per value, writes per transaction. */
const StoreLimitsSchema = { rps: positive, write_rps: positive, value_kb: positive, txn_ops: count };

/** Process limits used where `limits` omits them. */
const DEFAULT_PROCESS_LIMITS = { cpu: 1, ram_mb: 146, sockets: 500 };
const DEFAULT_CLOCK_ERROR_MS = 100;

/** The platform's settings file; unknown fields are ignored. */
export const SettingsFileSchema = v.object({
  node: text,
  location: v.optional(v.string(), ''),
  bind: address,
  mesh_addr: address,
  peers: v.array(v.object({ node: text, location: v.optional(v.string(), ''), address })),
  outside: v.object({ cloud: address, state: address }),
  cluster: v.object({
    size: count,
    zones: v.array(text),
    teams: v.array(TeamSchema),
    objectives: v.optional(v.array(ObjectiveSchema), []),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({ ...StoreLimitsSchema, next: v.optional(v.nullable(v.partial(v.object(StoreLimitsSchema)))) }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    limits: v.optional(
      v.object({
        cpu: v.optional(positive, DEFAULT_PROCESS_LIMITS.cpu),
        ram_mb: v.optional(positive, DEFAULT_PROCESS_LIMITS.ram_mb),
        sockets: v.optional(count, DEFAULT_PROCESS_LIMITS.sockets),
      }),
      {},
    ),
    clock_error_ms: v.optional(amount, DEFAULT_CLOCK_ERROR_MS),
  }),
});

const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));

/** The operators' settings file; unknown fields are errors, since they are probably misspelled. */
export const TuningFileSchema = v.strictObject({
  threshold: v.optional(share, DEFAULT_TUNING.threshold),
  window_s: v.optional(positive, DEFAULT_TUNING.window_s),
  check_s: v.optional(positive, DEFAULT_TUNING.check_s),
  moves_per_round: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), DEFAULT_TUNING.moves_per_round),
  image_bonus: v.optional(share, DEFAULT_TUNING.image_bonus),
  standby: v.optional(StandbySettingsSchema, {}),
});

/** The parsed settings file, with its own field names. */
export type SettingsFile = v.InferOutput<typeof SettingsFileSchema>;
/** The section of the settings file for the store. */
export type StoreSection = SettingsFile['cluster']['state'];
/** The parsed tuning file, with its own field names. */
export type TuningFile = v.InferOutput<typeof TuningFileSchema>;

const decodeTeam = ({ name, cpus, cpus_max, gpus, gpus_max }: SettingsFile['cluster']['teams'][number]): Team => ({
  name,
  guaranteed: { cpus, gpus },
  limit: { cpus: cpus_max, gpus: gpus_max },
});

const decodeObjective = (objective: SettingsFile['cluster']['objectives'][number]): ServiceLevelObjective => ({
  kind: objective.kind,
  ...(objective.class === undefined ? {} : { jobClass: objective.class }),
  ...(objective.within_s === undefined ? {} : { withinMs: objective.within_s * MS_PER_S }),
  ...(objective.times === undefined ? {} : { deadlineFactor: objective.times }),
});

const decodeWorkerTimings = (workers: SettingsFile['cluster']['workers']): WorkerTimings => ({
  heartbeatIntervalMs: workers.report_s * MS_PER_S,
  workerLeaseMs: workers.lease_s * MS_PER_S,
  gangStartTimeoutMs: workers.gang_wait_s * MS_PER_S,
  gangPeerTimeoutMs: workers.gang_peer_s * MS_PER_S,
  cancelDeadlineMs: workers.cancel_s * MS_PER_S,
});

const currentLimits = (store: StoreSection): StoreLimits => ({
  writesPerSecond: store.write_rps,
  valueBytes: store.value_kb * BYTES_PER_KB,
  transactionWrites: store.txn_ops,
});

/** The limits that hold both before and after an announced change; a limit without an announced change keeps its value. */
const strictestLimits = (store: StoreSection): StoreLimits => ({
  writesPerSecond: Math.min(store.write_rps, store.next?.write_rps ?? Infinity),
  valueBytes: Math.min(store.value_kb, store.next?.value_kb ?? Infinity) * BYTES_PER_KB,
  transactionWrites: Math.min(store.txn_ops, store.next?.txn_ops ?? Infinity),
});

/** Converts the store's limits, current and announced. */
export const decodeStoreSettings = (store: StoreSection): StoreSettings => ({
  requestsPerSecond: store.rps,
  current: currentLimits(store),
  strictest: strictestLimits(store),
});

/** Converts the platform's settings to the names and units of the program. */
export const decodeSettings = (file: SettingsFile): Settings => ({
  node: file.node,
  zone: file.location,
  apiAddress: file.bind,
  gossipAddress: file.mesh_addr,
  peers: file.peers.map(({ node, location, address: peerAddress }) => ({ node, zone: location, address: peerAddress })),
  cloudAddress: file.outside.cloud,
  storeAddress: file.outside.state,
  cluster: {
    size: file.cluster.size,
    teams: file.cluster.teams.map(decodeTeam),
    serviceLevelObjectives: file.cluster.objectives.map(decodeObjective),
    workers: decodeWorkerTimings(file.cluster.workers),
    store: decodeStoreSettings(file.cluster.state),
    cloud: { requestsPerSecond: file.cluster.cloud.rps },
    sockets: file.cluster.limits.sockets,
  },
});

/** Converts the operators' settings to the names and units of the program. */
export const decodeTuning = (file: TuningFile): Tuning => ({
  happinessThreshold: file.threshold,
  happinessWindowMs: file.window_s * MS_PER_S,
  checkIntervalMs: file.check_s * MS_PER_S,
  movesPerRound: file.moves_per_round,
  imageBonus: file.image_bonus,
  standby: file.standby,
});
