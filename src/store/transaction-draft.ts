/** A compare-and-swap transaction under construction, and the store's limits on one transaction. */
import {
  BATCH_TRANSACTION_SHARE,
  CONDITIONS_PER_WRITE,
  MAX_TRANSACTION_BYTES,
  MIN_BATCH_TRANSACTION_WRITES,
} from '../constants/store.js';
import type { Count } from '../domain/count.js';
import type { StoreSettings } from '../domain/settings.js';
import { jsonLength } from './json-size.js';
import type { StoredValue } from './replica.js';

/** Upper limits of one transaction. */
export interface TransactionLimits {
  /** Number of writes. */
  writes: number;
  /** Number of writes in a transaction of several mutations. */
  batchWrites: number;
  conditions: number;
  bytes: number;
  /** Bytes of one value, as currently limited. */
  valueBytes: number;
  /** Bytes of one value that are allowed both now and after an announced change of the limit. */
  strictestValueBytes: number;
}

/**
 * Limits that also hold after an announced change of the store's limits, except that `valueBytes` is the current limit: values
 * that are already stored may be larger than the announced limit.
 */
export function transactionLimits({ current, strictest }: StoreSettings): TransactionLimits {
  const { transactionWrites, writesPerSecond } = strictest;
  const maxBatchWrites = Math.max(MIN_BATCH_TRANSACTION_WRITES, Math.floor(writesPerSecond * BATCH_TRANSACTION_SHARE));
  return {
    writes: transactionWrites,
    batchWrites: Math.min(transactionWrites, maxBatchWrites),
    conditions: transactionWrites * CONDITIONS_PER_WRITE,
    bytes: MAX_TRANSACTION_BYTES,
    valueBytes: current.valueBytes,
    strictestValueBytes: strictest.valueBytes,
  };
}

/** Converts a record to the form in which it is written, so that its size is within the store's limit. */
export type Resize = (key: string, value: unknown) => unknown;

/** Upper bounds of the size in bytes of a write and of a condition, without the key and value. */
const WRITE_ENVELOPE_BYTES = 40;
const CONDITION_BYTES = 30;

const writeBytes = (key: string, value: unknown): number => key.length + WRITE_ENVELOPE_BYTES + jsonLength(value);

/** The size of a transaction in terms of each limit. */
interface TransactionSize {
  writes: number;
  conditions: number;
  bytes: number;
}

/**
 * A transaction under construction: the revision of every record that a mutation reads becomes a condition. A draft can have a
 * base draft, whose writes it sees, and is merged into it once accepted. Evaluating one more mutation thus costs only the
 * records of that mutation.
 */
export class TransactionDraft {
  /** The revisions that the records must still have when the transaction is applied, by key. */
  readonly conditions = new Map<string, Count>();
  /** The new values, by key; undefined deletes the key. */
  readonly writes = new Map<string, unknown>();
  /** The ids of the store leases that written keys are attached to, by key. */
  readonly leases = new Map<string, Count>();
  /** Bytes of each write that `fits` has measured, by key. */
  private readonly writeSizes = new Map<string, number>();
  private bytes = 0;

  constructor(
    private readonly read: (key: string) => StoredValue,
    private readonly base?: TransactionDraft,
    private readonly resize: Resize = (_, value) => value,
  ) {}

  /** The first draft in the chain from this one through its bases that writes the key; undefined: none does. */
  private findWriter(key: string): TransactionDraft | undefined {
    return this.writes.has(key) ? this : this.base?.findWriter(key);
  }

  /** Whether this draft or one of its bases writes the key. */
  writesKey(key: string): boolean {
    return this.findWriter(key) !== undefined;
  }

  /** Reads a record, and makes its revision a condition unless this draft or one of its bases writes the record. */
  get(key: string): unknown {
    const writer = this.findWriter(key);
    if (writer !== undefined) return writer.writes.get(key);
    const row = this.read(key);
    this.conditions.set(key, row.modRevision);
    return row.value;
  }

  /** Reads a record without adding a condition: for records that can't change any more, or where a stale value is acceptable. */
  getWithoutCondition(key: string): unknown {
    const writer = this.findWriter(key);
    return writer !== undefined ? writer.writes.get(key) : this.read(key).value;
  }

  /** Writes a record, on the condition that its revision is still the one that was read. */
  set(key: string, value: unknown): void {
    if (!this.conditions.has(key)) this.conditions.set(key, this.read(key).modRevision);
    this.writes.set(key, this.resize(key, value));
  }

  /** Writes a record that is deleted when the store lease expires. */
  setUnderLease(key: string, value: unknown, leaseId: Count): void {
    this.set(key, value);
    this.leases.set(key, leaseId);
  }

  delete(key: string): void {
    this.set(key, undefined);
  }

  /** Creates a draft with this one as its base. */
  createChild(): TransactionDraft {
    return new TransactionDraft(this.read, this, this.resize);
  }

  /** Whether this draft, merged into its base, is within the limits. Also measures the draft for `merge`. */
  fits(limits: TransactionLimits, maxWrites = limits.writes): boolean {
    if (this.hasValueAbove(limits.valueBytes)) return false;
    const size = this.mergedSize();
    this.bytes = size.bytes;
    return size.writes <= maxWrites && size.conditions <= limits.conditions && size.bytes <= limits.bytes;
  }

  private hasValueAbove(valueBytes: number): boolean {
    for (const value of this.writes.values()) {
      if (value !== undefined && jsonLength(value) > valueBytes) return true;
    }
    return false;
  }

  /** The size of the base with this draft merged into it. */
  private mergedSize(): TransactionSize {
    const { base } = this;
    const size: TransactionSize = {
      writes: base?.writes.size ?? 0,
      conditions: base?.conditions.size ?? 0,
      bytes: base?.bytes ?? 0,
    };
    this.addWrites(size);
    this.addConditions(size);
    return size;
  }

  private addWrites(size: TransactionSize): void {
    for (const [key, value] of this.writes) {
      const bytes = writeBytes(key, value);
      this.writeSizes.set(key, bytes);
      const replacedBytes = this.base?.writeSizes.get(key);
      if (replacedBytes === undefined) size.writes++;
      size.bytes += bytes - (replacedBytes ?? 0);
    }
  }

  private addConditions(size: TransactionSize): void {
    for (const key of this.conditions.keys()) {
      if (this.base?.conditions.has(key) === true) continue;
      size.conditions++;
      size.bytes += key.length + CONDITION_BYTES;
    }
  }

  /** Merges a draft that has this one as its base, and that `fits` has measured. */
  merge(child: TransactionDraft): void {
    for (const [key, modRevision] of child.conditions) {
      if (!this.conditions.has(key)) this.conditions.set(key, modRevision);
    }
    for (const [key, value] of child.writes) this.writes.set(key, value);
    for (const [key, size] of child.writeSizes) this.writeSizes.set(key, size);
    this.bytes = child.bytes;
    for (const [key, leaseId] of child.leases) this.leases.set(key, leaseId);
  }
}
