/** Keys of records that are named after something: a team, a node or a machine type, whose names the protocols do not limit. */
import { createHash } from 'node:crypto';

import { MAX_KEY_BYTES } from '../constants/store.js';

const SPACE = /[\s\p{White_Space}]/u;
/** Has no UTF-8 encoding. */
const UNPAIRED_SURROGATE = /\p{Surrogate}/u;

const isKey = (text: string): boolean =>
  Buffer.byteLength(text) <= MAX_KEY_BYTES && !SPACE.test(text) && !UNPAIRED_SURROGATE.test(text);

/** Differs for any two names, unpaired surrogates included. */
const digestOf = (name: string): string => createHash('sha256').update(name, 'utf16le').digest('hex');

/** The key in the folder that ends in the name; if the store does not accept it, a key with a digest in a folder beside. */
export function keyOfName(folder: string, name: string): string {
  const key = `${folder}/${name}`;
  return isKey(key) ? key : `${folder}-sha256/${digestOf(name)}`;
}

/**
 * The key under the prefix that ends in the percent-encoded name, or in a digest of the name if that is too long. Percent-encoding
 * leaves no colon, so no name is encoded like a digest.
 */
export function keyOfEncodedName(prefix: string, name: string): string {
  if (UNPAIRED_SURROGATE.test(name)) return digestKey(prefix, name);
  const key = `${prefix}${encodeURIComponent(name)}`;
  return isKey(key) ? key : digestKey(prefix, name);
}

const digestKey = (prefix: string, name: string): string => `${prefix}sha256:${digestOf(name)}`;
