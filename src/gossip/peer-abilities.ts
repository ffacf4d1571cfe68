/**
 * What a controller can decode, which it tells each peer that connects, on the peer's own connection. Controllers of earlier versions
 * tell nothing, and ignore what they are told.
 */
import * as v from 'valibot';

import { EARLIER_VERSION, type ReceiverAbilities } from './message-codec.js';

const OWN_ABILITIES: ReceiverAbilities = { readsLargeCounts: true };

const AbilitiesSchema = v.object({ readsLargeCounts: v.optional(v.boolean(), false) });

/** The message that tells this controller's abilities. */
export const encodeAbilities = (): Buffer => Buffer.from(JSON.stringify(OWN_ABILITIES));

/** The abilities that a peer tells; those of an earlier version if the message can't be decoded. */
export function decodeAbilities(bytes: Buffer): ReceiverAbilities {
  try {
    return v.parse(AbilitiesSchema, JSON.parse(bytes.toString('utf8')));
  } catch {
    return EARLIER_VERSION;
  }
}
