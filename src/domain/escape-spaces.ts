/** The name without spaces, so that names joined by spaces read differently if any of them differs. Usual names stay as they are. */
export const escapeSpaces = (name: string): string => name.replaceAll('%', '%25').replaceAll(' ', '%20');
