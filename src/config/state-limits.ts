/**
 * The limits of the state service: those in force, and those that it announces for some moment after an upgrade. It changes
 * over without notice, so whatever is written is made to fit both.
 */
import type { Settings } from './settings.js';

type StateSettings = Settings['cluster']['state'];

export interface StateLimits {
  /** Changes a second. */
  writesPerSecond: number;
  /** Bytes of one value. */
  valueBytes: number;
  /** Changes in one transaction. */
  transactionWrites: number;
}

const BYTES_PER_KB = 1024;

/** The limits in force when the process starts. */
export const presentLimits = (state: StateSettings): StateLimits => ({
  writesPerSecond: state.write_rps,
  valueBytes: state.value_kb * BYTES_PER_KB,
  transactionWrites: state.txn_ops,
});

/** Limits that hold before and after the announced change. */
export function lastingLimits(state: StateSettings): StateLimits {
  const { next } = state;
  return {
    writesPerSecond: Math.min(state.write_rps, next?.write_rps ?? Infinity),
    valueBytes: Math.min(state.value_kb, next?.value_kb ?? Infinity) * BYTES_PER_KB,
    transactionWrites: Math.min(state.txn_ops, next?.txn_ops ?? Infinity),
  };
}
