/** Finds limits of the platform that are too small for a controller, so that they are rejected at startup, not found in an outage. */
import {
  MIN_CPU_SHARE,
  MIN_MEMORY_MB,
  MIN_SOCKETS,
  MIN_STORE_REQUESTS_PER_NODE,
  MIN_STORE_WRITES,
  MIN_TRANSACTION_WRITES,
  MIN_VALUE_KB,
} from '../constants/platform-minimums.js';
import type { SettingsFile, StoreSection } from './settings-file-codec.js';

/** A limit set by the platform, and the minimum that a controller needs. */
interface Limit {
  /** The limit's path in the settings file. */
  field: string;
  value: number;
  minimum: number;
}

/** `path` is the path of the section in the settings file. Limits that the section omits are not checked. */
function listStoreLimits(path: string, store: Partial<StoreSection>, nodeCount: number): Limit[] {
  const minimumByName = {
    rps: MIN_STORE_REQUESTS_PER_NODE * nodeCount,
    write_rps: MIN_STORE_WRITES,
    value_kb: MIN_VALUE_KB,
    txn_ops: MIN_TRANSACTION_WRITES,
  };
  return Object.entries(minimumByName).map(([name, minimum]) => ({
    field: `${path}.${name}`,
    value: store[name as keyof typeof minimumByName] ?? Infinity,
    minimum,
  }));
}

const listLimits = ({ cluster }: SettingsFile): Limit[] => [
  { field: 'cluster.limits.cpu', value: cluster.limits.cpu, minimum: MIN_CPU_SHARE },
  { field: 'cluster.limits.ram_mb', value: cluster.limits.ram_mb, minimum: MIN_MEMORY_MB },
  { field: 'cluster.limits.sockets', value: cluster.limits.sockets, minimum: MIN_SOCKETS },
  ...listStoreLimits('cluster.state', cluster.state, cluster.size),
  ...listStoreLimits('cluster.state.next', cluster.state.next ?? {}, cluster.size),
];

/** Describes the first limit that is too small, and its minimum; undefined if all limits suffice. */
export function findLimitTooSmall(file: SettingsFile): string | undefined {
  const limit = listLimits(file).find(({ value, minimum }) => value < minimum);
  return limit === undefined ? undefined : `${limit.field}: must be ${limit.minimum} at least, is ${limit.value}`;
}
