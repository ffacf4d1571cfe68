/** A compare-and-swap transaction under construction, and the limits of the store for one. */
import {
  BATCH_TRANSACTION_SHARE,
  CONDITIONS_PER_WRITE,
  LEAST_BATCH_TRANSACTION_WRITES,
  MAX_TRANSACTION_BYTES,
} from '../constants/store.js';
import type { StoreSettings } from '../domain/settings.js';
import { jsonLength } from './json-size.js';
import type { StoredValue } from './replica.js';

/** The most that one transaction may hold. */
export interface TransactionLimits {
  /** Writes. */
  writes: number;
  /** Writes beyond which no other mutation is added to a transaction. */
  batchWrites: number;
  conditions: number;
  bytes: number;
  /** Bytes of one value at present. */
  valueBytes: number;
  /** Bytes of one value, now and after an announced change of the limit. */
  lastingValueBytes: number;
}

/**
 * Limits that hold after an announced change of the store's limits too; but of one value the present limit, since what is stored
 * already may be larger than the limit to come.
 */
export function transactionLimits({ present, lasting }: StoreSettings): TransactionLimits {
  const { transactionWrites, writesPerSecond } = lasting;
  const batchOps = Math.max(LEAST_BATCH_TRANSACTION_WRITES, Math.floor(writesPerSecond * BATCH_TRANSACTION_SHARE));
  return {
    writes: transactionWrites,
    batchWrites: Math.min(transactionWrites, batchOps),
    conditions: transactionWrites * CONDITIONS_PER_WRITE,
    bytes: MAX_TRANSACTION_BYTES,
    valueBytes: present.valueBytes,
    lastingValueBytes: lasting.valueBytes,
  };
}

/** The form in which a record is written, of a size that the store takes. */
export type Resize = (key: string, value: unknown) => unknown;

/** Bytes of the envelope of a write and of a condition, safe upper bounds. */
const WRITE_ENVELOPE_BYTES = 40;
const CONDITION_BYTES = 30;

const writeBytes = (key: string, value: unknown): number => key.length + WRITE_ENVELOPE_BYTES + jsonLength(value);

/** What a transaction takes of each limit. */
interface TransactionSize {
  writes: number;
  conditions: number;
  bytes: number;
}

/**
 * A transaction under construction: every record that a mutation reads becomes a condition. A draft over a base draft sees the
 * writes of the base; it is merged into the base if it is kept, so that trying one more mutation costs no more than its own
 * records.
 */
export class TransactionDraft {
  /** The revisions that the records must still have, by key. */
  readonly conditions = new Map<string, number>();
  /** The new values, by key; undefined deletes. */
  readonly writes = new Map<string, unknown>();
  /** The store leases that written keys are attached to. */
  readonly leases = new Map<string, number>();
  /** Bytes of each write, as far as `fits` has measured them. */
  private readonly writeSizes = new Map<string, number>();
  private bytes = 0;

  constructor(
    private readonly read: (key: string) => StoredValue,
    private readonly base?: TransactionDraft,
    private readonly resize: Resize = (_, value) => value,
  ) {}

  /** The newest draft, of this one and its bases, that has written the key; undefined: none has. */
  private findWriter(key: string): TransactionDraft | undefined {
    return this.writes.has(key) ? this : this.base?.findWriter(key);
  }

  /** Does this draft, or a base of it, write the key? */
  hasWritten(key: string): boolean {
    return this.findWriter(key) !== undefined;
  }

  /** Reads a record, and makes its revision a condition unless this draft or a base of it has written it. */
  get(key: string): unknown {
    const writer = this.findWriter(key);
    if (writer !== undefined) return writer.writes.get(key);
    const row = this.read(key);
    this.conditions.set(key, row.modRevision);
    return row.value;
  }

  /** Reads without making it a condition: only for what can't change any more. */
  peek(key: string): unknown {
    const writer = this.findWriter(key);
    return writer !== undefined ? writer.writes.get(key) : this.read(key).value;
  }

  /** Writes a record, under the condition that it is as it was read. */
  set(key: string, value: unknown): void {
    if (!this.conditions.has(key)) this.conditions.set(key, this.read(key).modRevision);
    this.writes.set(key, this.resize(key, value));
  }

  /** Writes a record that is deleted when the store lease expires. */
  setUnderLease(key: string, value: unknown, leaseId: number): void {
    this.set(key, value);
    this.leases.set(key, leaseId);
  }

  delete(key: string): void {
    this.set(key, undefined);
  }

  /** A draft with this one as its base. */
  over(): TransactionDraft {
    return new TransactionDraft(this.read, this, this.resize);
  }

  /** Would this draft, merged into its base, still be one transaction? `ops`: the most writes. */
  fits(limits: TransactionLimits, ops = limits.writes): boolean {
    if (this.hasValueAbove(limits.valueBytes)) return false;
    const size = this.measureMerged();
    this.bytes = size.bytes;
    return size.writes <= ops && size.conditions <= limits.conditions && size.bytes <= limits.bytes;
  }

  private hasValueAbove(valueBytes: number): boolean {
    for (const value of this.writes.values()) {
      if (value !== undefined && jsonLength(value) > valueBytes) return true;
    }
    return false;
  }

  /** The size of the base with this draft merged into it. */
  private measureMerged(): TransactionSize {
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

  /** Takes in a draft over this one, which must have been measured by `fits`. */
  merge(above: TransactionDraft): void {
    for (const [key, modRevision] of above.conditions) {
      if (!this.conditions.has(key)) this.conditions.set(key, modRevision);
    }
    for (const [key, value] of above.writes) this.writes.set(key, value);
    for (const [key, size] of above.writeSizes) this.writeSizes.set(key, size);
    this.bytes = above.bytes;
    for (const [key, leaseId] of above.leases) this.leases.set(key, leaseId);
  }
}
