/** An HTTP client that answers every request alike. */
import type { HttpClient, NoResponseError, Reply } from '../src/net/http-client.js';

/** A `NoResponseError` in place of a reply is thrown. */
export const answering = (reply: Reply | NoResponseError): HttpClient => ({
  call: () => (reply instanceof Error ? Promise.reject(reply) : Promise.resolve(reply)),
});
