/** The answer to an HTTP request: a status and a JSON body. */
export interface HttpAnswer {
  status: number;
  body: unknown;
  /** s; told with 429 and 503. */
  retryAfter?: number;
}
