/** The store's wire form: its paths, requests and answers, and their translation to the terms of the program. */

/** A key with its value and the revision of its last change. */
export interface Row {
  key: string;
  value: unknown;
  modRevision: number;
}

/** A change of a key at a revision. */
export interface Change {
  key: string;
  /** undefined: the key is deleted. */
  value: unknown;
  modRevision: number;
}

/** A transaction takes effect only if the key was last changed at this revision; 0: only if it does not exist. */
export interface Condition {
  key: string;
  modRevision: number;
}

/** A put or delete of a transaction. */
export interface Write {
  key: string;
  /** undefined deletes the key. */
  value: unknown;
  /** The store lease that the key is attached to. */
  leaseId?: number;
}

interface WireRow {
  K: string;
  V: unknown;
  Stamp: number;
}

const decodeRow = ({ K, V, Stamp }: WireRow): Row => ({ key: K, value: V, modRevision: Stamp });

/** The path of one key. */
export const keyPath = (key: string): string => `/store/${key}`;

/** The answer for a key that exists. */
export const decodeKey = (body: unknown): { value: unknown; modRevision: number } => {
  const { V, Stamp } = body as WireRow;
  return { value: V, modRevision: Stamp };
};

/** The store's revision, as the answer for a missing key tells it. */
export const decodeMissingKey = (body: unknown): number => (body as { Epoch: number }).Epoch;

/** The path of a page of keys; `after`: the key behind which it begins; undefined: the first page. */
export function listPath(prefix: string, after: string | undefined, limit: number): string {
  const from = after === undefined ? '' : `&From=${encodeURIComponent(after)}`;
  return `/store?Starts=${encodeURIComponent(prefix)}${from}&Limit=${limit}`;
}

/** One page of rows in key order. */
export interface Page {
  rows: Row[];
  hasMore: boolean;
  /** The store's revision when the page was read. */
  revision: number;
}

/** The answer to a list of keys. */
export function decodePage(body: unknown): Page {
  const { Rows, HasNext, Epoch } = body as { Rows: WireRow[]; HasNext: boolean; Epoch: number };
  return { rows: Rows.map(decodeRow), hasMore: HasNext, revision: Epoch };
}

/** The path of a watch that waits for changes after a revision. */
export const watchPath = (prefix: string, fromRevision: number, waitMs: number): string =>
  `/watch?Starts=${encodeURIComponent(prefix)}&From=${fromRevision}&WaitMs=${waitMs}`;

/** All changes up to a revision, since the one that the watch asked for. */
export interface WatchedChanges {
  revision: number;
  changes: Change[];
}

interface WireChange {
  Set?: string;
  Drop?: string;
  V?: unknown;
  Stamp: number;
}

const decodeChange = ({ Set: put, Drop: deleted, V: value, Stamp: modRevision }: WireChange): Change =>
  put !== undefined ? { key: put, value, modRevision } : { key: deleted!, value: undefined, modRevision };

/** The answer to a watch; an idle watch ends without changes. */
export function decodeWatch(body: unknown): WatchedChanges {
  const { Epoch, News } = body as { Epoch: number; News?: WireChange[] };
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

/** How the store answered a transaction. */
export type TransactionResult =
  /** Committed at this revision. */
  | { kind: 'done'; revision: number }
  /** Nothing was changed; `failed`: the keys whose conditions do not hold. */
  | { kind: 'conflict'; failed: string[]; revision: number }
  /** The store lease of a write has expired. */
  | { kind: 'lease_expired' }
  /** The store takes no transaction of that form or size. */
  | { kind: 'malformed'; reason: string }
  /** Not carried out, and never will be. */
  | { kind: 'refused'; status: number }
  /** May have been carried out, or may be later, until a revision that it names has changed. */
  | { kind: 'unknown' };

/** The store's error text for a lease that does not exist any more. */
const LEASE_EXPIRED = 'no such lease';

/** Any status that the protocol does not name leaves the outcome unknown. */
export function decodeTransactionResult(status: number, body: unknown): TransactionResult {
  const answer = body as { Epoch: number; failed: string[]; error?: string };
  switch (status) {
    case 200:
      return { kind: 'done', revision: answer.Epoch };
    case 409:
      return { kind: 'conflict', failed: answer.failed, revision: answer.Epoch };
    case 400:
      return answer?.error === LEASE_EXPIRED
        ? { kind: 'lease_expired' }
        : { kind: 'malformed', reason: String(answer?.error) };
    case 429:
    case 503:
      return { kind: 'refused', status };
    default:
      return { kind: 'unknown' };
  }
}

/** Store leases: creation and renewal. */
export const LEASES_PATH = '/holds';
export const leaseRenewalPath = (leaseId: number): string => `/holds/${leaseId}/renew`;
export const encodeLeaseRequest = (ttlMs: number): unknown => ({ TtlMs: ttlMs });
export const decodeLeaseId = (body: unknown): number => (body as { Latch: number }).Latch;
