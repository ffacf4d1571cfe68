/** Network addresses in the form used by the settings. */

/** The host and port of a server. */
export interface HostAndPort {
  host: string;
  port: number;
}

/** Splits 'host:port' at its last colon. */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
