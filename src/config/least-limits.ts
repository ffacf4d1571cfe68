/** The limits below which a controller can't do its work: better told at the start than found out in an outage. */
import {
  LEAST_CPU_SHARE,
  LEAST_MEMORY_MB,
  LEAST_SOCKETS,
  LEAST_STORE_REQUESTS_PER_NODE,
  LEAST_STORE_WRITES,
  LEAST_TRANSACTION_WRITES,
  LEAST_VALUE_KB,
} from '../constants/platform-minimums.js';
import type { SettingsFile, StoreSection } from './settings-file-codec.js';

interface Limit {
  field: string;
  value: number;
  least: number;
}

/** What is not announced to change stays as it is. */
function storeLimitsOf(path: string, store: Partial<StoreSection>, nodes: number): Limit[] {
  const least = {
    rps: LEAST_STORE_REQUESTS_PER_NODE * nodes,
    write_rps: LEAST_STORE_WRITES,
    value_kb: LEAST_VALUE_KB,
    txn_ops: LEAST_TRANSACTION_WRITES,
  };
  return Object.entries(least).map(([name, each]) => ({
    field: `${path}.${name}`,
    value: store[name as keyof typeof least] ?? Infinity,
    least: each,
  }));
}

const limitsOf = ({ cluster }: SettingsFile): Limit[] => [
  { field: 'cluster.limits.cpu', value: cluster.limits.cpu, least: LEAST_CPU_SHARE },
  { field: 'cluster.limits.ram_mb', value: cluster.limits.ram_mb, least: LEAST_MEMORY_MB },
  { field: 'cluster.limits.sockets', value: cluster.limits.sockets, least: LEAST_SOCKETS },
  ...storeLimitsOf('cluster.state', cluster.state, cluster.size),
  ...storeLimitsOf('cluster.state.next', cluster.state.next ?? {}, cluster.size),
];

/** What is wrong with the first limit that is too small, with the field's name; undefined: nothing. */
export function findLimitTooSmall(file: SettingsFile): string | undefined {
  const limit = limitsOf(file).find(({ value, least }) => value < least);
  return limit === undefined ? undefined : `${limit.field}: must be ${limit.least} at least, is ${limit.value}`;
}
