/** The limits below which a controller can't do its work: better told at the start than found out in an outage. */
import {
  LEAST_CPU_SHARE,
  LEAST_RAM_MB,
  LEAST_SOCKETS,
  LEAST_STATE_REQUESTS_PER_NODE,
  LEAST_STATE_WRITES,
  LEAST_TRANSACTION_WRITES,
  LEAST_VALUE_KB,
} from '../constants.js';
import type { Settings } from './settings.js';

interface Limit {
  field: string;
  value: number;
  least: number;
}

const limitsOf = ({ cluster }: Settings): Limit[] => [
  { field: 'cluster.limits.cpu', value: cluster.limits.cpu, least: LEAST_CPU_SHARE },
  { field: 'cluster.limits.ram_mb', value: cluster.limits.ram_mb, least: LEAST_RAM_MB },
  { field: 'cluster.limits.sockets', value: cluster.limits.sockets, least: LEAST_SOCKETS },
  { field: 'cluster.state.rps', value: cluster.state.rps, least: LEAST_STATE_REQUESTS_PER_NODE * cluster.size },
  { field: 'cluster.state.write_rps', value: cluster.state.write_rps, least: LEAST_STATE_WRITES },
  { field: 'cluster.state.value_kb', value: cluster.state.value_kb, least: LEAST_VALUE_KB },
  { field: 'cluster.state.txn_ops', value: cluster.state.txn_ops, least: LEAST_TRANSACTION_WRITES },
];

/** What is wrong with the first limit that is too small, with the field's name; undefined: nothing. */
export function limitTooSmall(settings: Settings): string | undefined {
  const limit = limitsOf(settings).find(({ value, least }) => value < least);
  return limit === undefined ? undefined : `${limit.field}: must be ${limit.least} at least, is ${limit.value}`;
}
