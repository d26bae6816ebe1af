/** Limits of the HTTP server for operators. */

/** Maximum request body, bytes. Large enough for a ticket with 500 changes of 4 KiB each. */
export const MAXIMUM_BODY_BYTES = 2 * 1024 * 1024;

/** Maximum total size of the request headers, bytes. */
export const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** Maximum nesting of a JSON body. A ticket needs 5: ticket, changes, change, state, list of objects. */
export const MAXIMUM_JSON_DEPTH = 16;

/** Timeout for receiving the headers of a request. */
export const HEADERS_TIMEOUT_MILLISECONDS = 5000;

/** Timeout for receiving a complete request. */
export const REQUEST_TIMEOUT_MILLISECONDS = 10_000;

/** Interval between checks of the two timeouts above. The default of node:http is 30 s. */
export const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 1000;

/** Timeout of a route. A ticket without an outcome at that point is reported as `unknown`. */
export const RESPONSE_TIMEOUT_MILLISECONDS = 15_000;

/** Maximum open connections. Operators are few; the limit stops a script that exhausts file descriptors. */
export const MAXIMUM_CONNECTIONS = 256;

/** Maximum nesting of a state dump. Deeper values are replaced with `(too deep)`. */
export const MAXIMUM_DUMP_DEPTH = 16;
