/** What this program answers to an HTTP request: a status and a JSON body. */
export interface HttpAnswer {
  status: number;
  /** Encoded as JSON. */
  body: unknown;
  /** s; sent with 429 and 503 as the Retry-After header. */
  retryAfter?: number;
}
