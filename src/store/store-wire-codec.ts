/** The store's wire format: paths, requests and responses, and their conversion to the program's own types. */
import type { Count } from '../domain/count.js';

/** A key with its value and the revision of its last change. */
export interface Row {
  key: string;
  value: unknown;
  modRevision: Count;
}

/** A change of a key at a revision. */
export interface Change {
  key: string;
  /** undefined: the key was deleted. */
  value: unknown;
  modRevision: Count;
}

/** Requires that the key was last changed at this revision; 0: that the key does not exist. */
export interface Condition {
  key: string;
  modRevision: Count;
}

/** A put or delete in a transaction. */
export interface Write {
  key: string;
  /** undefined deletes the key. */
  value: unknown;
  /** The store lease that the key is attached to. */
  leaseId?: Count;
}

interface WireRow {
  K: string;
  V: unknown;
  Stamp: Count;
}

const decodeRow = ({ K, V, Stamp }: WireRow): Row => ({ key: K, value: V, modRevision: Stamp });

/** The path of one key. */
export const keyPath = (key: string): string => `/store/${key}`;

/** Decodes the response for an existing key. */
export const decodeKey = (body: unknown): { value: unknown; modRevision: Count } => {
  const { V, Stamp } = body as WireRow;
  return { value: V, modRevision: Stamp };
};

/** Decodes the store's revision from the response for a missing key. */
export const decodeMissingKey = (body: unknown): Count => (body as { Epoch: Count }).Epoch;

/** The path of the page of keys that follows the key `after`; undefined: the first page. */
export function listPath(prefix: string, after: string | undefined, limit: number): string {
  const from = after === undefined ? '' : `&From=${encodeURIComponent(after)}`;
  return `/store?Starts=${encodeURIComponent(prefix)}${from}&Limit=${limit}`;
}

/** One page of rows in key order. */
export interface Page {
  rows: Row[];
  hasMore: boolean;
  /** The store's revision when the page was read. */
  revision: Count;
}

/** Decodes a page of keys. */
export function decodePage(body: unknown): Page {
  const { Rows, HasNext, Epoch } = body as { Rows: WireRow[]; HasNext: boolean; Epoch: Count };
  return { rows: Rows.map(decodeRow), hasMore: HasNext, revision: Epoch };
}

/** The path of a watch that waits for changes after a revision. */
export const watchPath = (prefix: string, fromRevision: Count, waitMs: number): string =>
  `/watch?Starts=${encodeURIComponent(prefix)}&From=${fromRevision}&WaitMs=${waitMs}`;

/** All changes from the revision at which a watch began up to `revision`. */
export interface WatchedChanges {
  revision: Count;
  changes: Change[];
}

interface WireChange {
  Set?: string;
  Drop?: string;
  V?: unknown;
  Stamp: Count;
}

const decodeChange = ({ Set: put, Drop: deleted, V: value, Stamp: modRevision }: WireChange): Change =>
  put !== undefined ? { key: put, value, modRevision } : { key: deleted!, value: undefined, modRevision };

/** Decodes the response to a watch; an idle watch ends without changes. */
export function decodeWatch(body: unknown): WatchedChanges {
  const { Epoch, News } = body as { Epoch: Count; News?: WireChange[] };
  return { revision: Epoch, changes: (News ?? []).map(decodeChange) };
}

const encodeWrite = ({ key, value, leaseId }: Write): unknown => {
  if (value === undefined) return { Drop: key };
  return leaseId === undefined ? { Set: key, V: value } : { Set: key, V: value, Latch: leaseId };
};

/** The body of a compare-and-swap transaction. */
export const encodeTransaction = (conditions: readonly Condition[], writes: readonly Write[]): unknown => ({
  If: conditions.map(({ key, modRevision }) => ({ K: key, Stamp: modRevision })),
  Apply: writes.map(encodeWrite),
});

/** The result of a transaction. */
export type TransactionResult =
  /** Committed at this revision. */
  | { kind: 'done'; revision: Count }
  /** Nothing was changed; `failed` lists the keys whose conditions do not hold. */
  | { kind: 'conflict'; failed: string[]; revision: Count }
  /** The store lease of a write has expired. */
  | { kind: 'lease_expired' }
  /** The store rejects the form or size of the transaction. */
  | { kind: 'malformed'; reason: string }
  /** Not carried out, and never will be. */
  | { kind: 'refused'; status: number }
  /** May have been carried out, or may still be carried out until one of the revisions in its conditions has changed. */
  | { kind: 'unknown' };

/** The store's error text for a lease that no longer exists. */
const LEASE_NOT_FOUND_ERROR = 'no such lease';

/** A status that the protocol does not define means that the outcome is unknown. */
export function decodeTransactionResult(status: number, body: unknown): TransactionResult {
  const response = body as { Epoch: Count; failed: string[]; error?: string };
  switch (status) {
    case 200:
      return { kind: 'done', revision: response.Epoch };
    case 409:
      return { kind: 'conflict', failed: response.failed, revision: response.Epoch };
    case 400:
      return response?.error === LEASE_NOT_FOUND_ERROR
        ? { kind: 'lease_expired' }
        : { kind: 'malformed', reason: String(response?.error) };
    case 429:
    case 503:
      return { kind: 'refused', status };
    default:
      return { kind: 'unknown' };
  }
}

/** Paths, requests and responses for creating and renewing store leases. */
export const LEASES_PATH = '/holds';
export const leaseRenewalPath = (leaseId: Count): string => `/holds/${leaseId}/renew`;
export const encodeLeaseRequest = (ttlMs: number): unknown => ({ TtlMs: ttlMs });
export const decodeLeaseId = (body: unknown): Count => (body as { Latch: Count }).Latch;
