/** Keeps the catalogue of machine types as the records have it: every node places by it, and only the leader asks the cloud. */
import { decodeCatalog } from '../cloud/client.js';
import { LIVE } from '../ledger/records.js';
import type { Replica } from '../state/replica.js';
import type { Flavor } from './fleet.js';
import type { Log } from './log.js';

const PREFIX = `${LIVE}flavor/`;

export function followCatalog(replica: Replica, catalog: () => Map<string, Flavor>, log: Log): void {
  replica.onChange((key, { value }) => {
    if (!key.startsWith(PREFIX) || value === undefined) return;
    const read = decodeCatalog({ Flavors: [value] });
    if (read === undefined) log.error({ key }, 'record can not be read');
    for (const [sku, flavor] of read ?? []) catalog().set(sku, flavor);
  });
}
