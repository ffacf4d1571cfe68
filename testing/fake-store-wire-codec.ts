/** The store's side of its wire format: decodes requests and encodes answers. */

/** A transaction is executed only if the key was last changed at this revision; 0: only if the key does not exist. */
export interface StoreCondition {
  key: string;
  modRevision: number;
}

/** A change that a transaction makes. */
export type StoreOperation =
  { kind: 'put'; key: string; value: unknown; leaseId?: number | undefined } | { kind: 'delete'; key: string };

/** A compare-and-swap transaction. */
export interface StoreTransaction {
  conditions: StoreCondition[];
  operations: StoreOperation[];
}

/** A request to the store. */
export type StoreRequest =
  | { kind: 'get'; key: string }
  | { kind: 'list'; prefix: string; after: string; limit: number }
  | { kind: 'watch'; prefix: string; fromRevision: number; waitMs: number }
  | { kind: 'transaction'; transaction: StoreTransaction }
  | { kind: 'grantLease'; ttlMs: number }
  | { kind: 'renewLease' | 'revokeLease'; leaseId: number };

/** A key with its value and the revision of its last change. */
export interface StoreRow {
  key: string;
  value: unknown;
  modRevision: number;
}

/** A change that a watch reports; the value is undefined if the key was deleted. */
export type StoreChange = StoreRow;

const DEFAULT_PAGE_ROWS = 1000;

interface WireOperation {
  Set?: string;
  Drop?: string;
  V?: unknown;
  Latch?: number;
}

interface WireTransaction {
  If?: { K: string; Stamp: number }[];
  Apply?: WireOperation[];
}

const decodeOperation = ({ Set: put, Drop: deleted, V: value, Latch: leaseId }: WireOperation): StoreOperation =>
  put === undefined ? { kind: 'delete', key: deleted! } : { kind: 'put', key: put, value, leaseId };

export function decodeTransaction(body: unknown): StoreTransaction {
  const { If = [], Apply = [] } = body as WireTransaction;
  return {
    conditions: If.map(({ K: key, Stamp: modRevision }) => ({ key, modRevision })),
    operations: Apply.map(decodeOperation),
  };
}

/** A transaction as a client sends it, for tests that change a record themselves. */
export const encodeTransaction = ({ conditions = [], operations = [] }: Partial<StoreTransaction>): object => ({
  If: conditions.map(({ key, modRevision }) => ({ K: key, Stamp: modRevision })),
  Apply: operations.map((each) =>
    each.kind === 'put' ? { Set: each.key, V: each.value, Latch: each.leaseId } : { Drop: each.key },
  ),
});

function decodeLeaseRequest(method: string, id: string | undefined, body: unknown): StoreRequest {
  if (id === undefined) return { kind: 'grantLease', ttlMs: (body as { TtlMs: number }).TtlMs };
  return { kind: method === 'DELETE' ? 'revokeLease' : 'renewLease', leaseId: Number(id) };
}

export function decodeStoreRequest(method: string, path: string, body: unknown): StoreRequest {
  const { pathname, searchParams: query } = new URL(path, 'http://store');
  const [, resource, id] = pathname.split('/');
  const prefix = query.get('Starts') ?? '';
  if (resource === 'watch') {
    return { kind: 'watch', prefix, fromRevision: Number(query.get('From')), waitMs: Number(query.get('WaitMs') ?? 0) };
  }
  if (resource === 'txn') return { kind: 'transaction', transaction: decodeTransaction(body) };
  if (resource === 'holds') return decodeLeaseRequest(method, id, body);
  if (pathname !== '/store') return { kind: 'get', key: pathname.slice('/store/'.length) };
  const limit = Number(query.get('Limit') ?? DEFAULT_PAGE_ROWS);
  return { kind: 'list', prefix, after: query.get('From') ?? '', limit };
}

export const encodeRow = ({ key, value, modRevision }: StoreRow): object => ({ K: key, V: value, Stamp: modRevision });

/** An answer that contains only the store's revision. */
export const encodeRevision = (revision: number): object => ({ Epoch: revision });

export const encodePage = (rows: readonly StoreRow[], hasMore: boolean, revision: number): object => ({
  Rows: rows.map(encodeRow),
  HasNext: hasMore,
  Epoch: revision,
});

export const encodeChanges = (revision: number, changes: readonly StoreChange[]): object => ({
  Epoch: revision,
  News: changes.map(({ key, value, modRevision }) =>
    value === undefined ? { Drop: key, Stamp: modRevision } : { Set: key, V: value, Stamp: modRevision },
  ),
});

/** The answer to a transaction whose conditions on these keys do not hold. */
export const encodeConflict = (failed: readonly string[], revision: number): object => ({ failed, Epoch: revision });

export const encodeLease = (leaseId: number): object => ({ Latch: leaseId });
