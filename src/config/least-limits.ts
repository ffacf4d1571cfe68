/** The limits below which a controller can't work: refused at startup rather than found out in an outage. */
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

/** A limit of the platform, and the least that is needed. */
interface Limit {
  /** Its path in the settings file. */
  field: string;
  value: number;
  least: number;
}

/** `path`: of the section in the settings file. A limit that the section leaves out is not checked. */
function listStoreLimits(path: string, store: Partial<StoreSection>, nodeCount: number): Limit[] {
  const leastByName = {
    rps: LEAST_STORE_REQUESTS_PER_NODE * nodeCount,
    write_rps: LEAST_STORE_WRITES,
    value_kb: LEAST_VALUE_KB,
    txn_ops: LEAST_TRANSACTION_WRITES,
  };
  return Object.entries(leastByName).map(([name, least]) => ({
    field: `${path}.${name}`,
    value: store[name as keyof typeof leastByName] ?? Infinity,
    least,
  }));
}

const listLimits = ({ cluster }: SettingsFile): Limit[] => [
  { field: 'cluster.limits.cpu', value: cluster.limits.cpu, least: LEAST_CPU_SHARE },
  { field: 'cluster.limits.ram_mb', value: cluster.limits.ram_mb, least: LEAST_MEMORY_MB },
  { field: 'cluster.limits.sockets', value: cluster.limits.sockets, least: LEAST_SOCKETS },
  ...listStoreLimits('cluster.state', cluster.state, cluster.size),
  ...listStoreLimits('cluster.state.next', cluster.state.next ?? {}, cluster.size),
];

/** Says which limit is too small, the first of them, and what is needed; undefined: none is. */
export function findLimitTooSmall(file: SettingsFile): string | undefined {
  const limit = listLimits(file).find(({ value, least }) => value < least);
  return limit === undefined ? undefined : `${limit.field}: must be ${limit.least} at least, is ${limit.value}`;
}
