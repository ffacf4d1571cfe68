/** Deletes the keys of a map or set that are not in `present`. */
export function retainKeys(
  keys: { keys(): Iterable<string>; delete(key: string): unknown },
  present: ReadonlySet<string>,
): void {
  for (const key of keys.keys()) if (!present.has(key)) keys.delete(key);
}
