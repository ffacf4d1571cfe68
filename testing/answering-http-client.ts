/** A fake HTTP client that answers every request the same way. */
import type { HttpClient, HttpResponse, NoResponseError } from '../src/net/http-client.js';

/** Creates a client that returns the reply to every request; a `NoResponseError` is thrown instead. */
export const answering = (reply: HttpResponse | NoResponseError): HttpClient => ({
  call: () => (reply instanceof Error ? Promise.reject(reply) : Promise.resolve(reply)),
});
