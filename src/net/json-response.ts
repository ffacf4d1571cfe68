/** A response of this program to an HTTP request: a status and a JSON body. */
export interface JsonResponse {
  status: number;
  /** Encoded as JSON. */
  body: unknown;
  /** Seconds; sent as the Retry-After header with 429 and 503. */
  retryAfter?: number;
}
