/** Network addresses as the settings have them. */

/** Where a server listens. */
export interface HostAndPort {
  host: string;
  port: number;
}

/** Splits 'host:port' at its last colon. */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
