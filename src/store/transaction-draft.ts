/** Transactions under construction, and the room that the store has for one. */
import {
  LEAST_BATCH_TRANSACTION_WRITES,
  BATCH_TRANSACTION_SHARE,
  CONDITIONS_PER_WRITE,
  MAX_TRANSACTION_BYTES,
} from '../constants/store.js';
import type { StoreSettings } from '../domain/settings.js';
import type { StoredValue } from './replica.js';
import { jsonLength } from './json-size.js';

/** Room in one transaction. */
export interface TransactionLimits {
  ops: number;
  /** Changes beyond which no other intent is added to a transaction. */
  batchOps: number;
  conditions: number;
  bytes: number;
  /** Bytes of one value, now and after an announced change of the limit. */
  valueBytes: number;
  lastingValueBytes: number;
}

/** Room that is left after an announced change of the store's limits too; but what is stored already may be larger. */
export function transactionLimits({ present, lasting }: StoreSettings): TransactionLimits {
  const { transactionWrites, writesPerSecond } = lasting;
  const batchOps = Math.max(LEAST_BATCH_TRANSACTION_WRITES, Math.floor(writesPerSecond * BATCH_TRANSACTION_SHARE));
  return {
    ops: transactionWrites,
    batchOps: Math.min(transactionWrites, batchOps),
    conditions: transactionWrites * CONDITIONS_PER_WRITE,
    bytes: MAX_TRANSACTION_BYTES,
    valueBytes: present.valueBytes,
    lastingValueBytes: lasting.valueBytes,
  };
}

const writeBytes = (key: string, value: unknown): number => key.length + 40 + jsonLength(value);
const CONDITION_BYTES = 30;

/** The form in which a record is written, of a size that the store takes. */
export type Resize = (key: string, value: unknown) => unknown;

/**
 * A transaction under construction: every record that a decision reads becomes a condition. A draft over another sees that
 * one's writes; it is merged into it if it is kept, so that trying one more decision costs no more than its own records.
 */
export class TransactionDraft {
  readonly conditions = new Map<string, number>();
  readonly writes = new Map<string, unknown>();
  /** The holds that written keys live on. */
  readonly leases = new Map<string, number>();
  private readonly sizes = new Map<string, number>();
  private bytes = 0;

  constructor(
    private readonly read: (key: string) => StoredValue,
    private readonly base?: TransactionDraft,
    private readonly resize: Resize = (_, value) => value,
  ) {}

  /** The draft that this one sees below itself, down to the records, or the one that has written the key already. */
  private findWriter(key: string): TransactionDraft | undefined {
    return this.writes.has(key) ? this : this.base?.findWriter(key);
  }

  /** Does this draft, or one below it, change the key? */
  hasWritten(key: string): boolean {
    return this.findWriter(key) !== undefined;
  }

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

  set(key: string, value: unknown): void {
    if (!this.conditions.has(key)) this.conditions.set(key, this.read(key).modRevision);
    this.writes.set(key, this.resize(key, value));
  }

  /** Sets a key that goes with a hold. */
  setUnderLease(key: string, value: unknown, leaseId: number): void {
    this.set(key, value);
    this.leases.set(key, leaseId);
  }

  delete(key: string): void {
    this.set(key, undefined);
  }

  over(): TransactionDraft {
    return new TransactionDraft(this.read, this, this.resize);
  }

  /** Would this draft, merged into the one below it, still be one transaction? */
  fits(limits: TransactionLimits, ops = limits.ops): boolean {
    const { base } = this;
    let writes = base?.writes.size ?? 0;
    let conditions = base?.conditions.size ?? 0;
    let bytes = base?.bytes ?? 0;
    for (const [key, value] of this.writes) {
      const size = writeBytes(key, value);
      if (value !== undefined && jsonLength(value) > limits.valueBytes) return false;
      this.sizes.set(key, size);
      const old = base?.sizes.get(key);
      if (old === undefined) writes++;
      bytes += size - (old ?? 0);
    }
    for (const key of this.conditions.keys()) {
      if (base?.conditions.has(key) === true) continue;
      conditions++;
      bytes += key.length + CONDITION_BYTES;
    }
    this.bytes = bytes;
    return writes <= ops && conditions <= limits.conditions && bytes <= limits.bytes;
  }

  /** Takes in a draft over this one, whose `fits` has been asked. */
  merge(above: TransactionDraft): void {
    for (const [key, modRevision] of above.conditions)
      if (!this.conditions.has(key)) this.conditions.set(key, modRevision);
    for (const [key, value] of above.writes) this.writes.set(key, value);
    for (const [key, size] of above.sizes) this.sizes.set(key, size);
    this.bytes = above.bytes;
    for (const [key, leaseId] of above.leases) this.leases.set(key, leaseId);
  }
}
