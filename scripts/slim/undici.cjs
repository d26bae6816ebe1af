// Exports only the parts of undici that the router uses; the whole package also loads fetch, caches and
// WebSocket.
const Agent = require("undici/lib/dispatcher/agent.js");
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");

Dispatcher.prototype.request = require("undici/lib/api/api-request.js");

exports.Agent = Agent;
exports.buildConnector = require("undici/lib/core/connect.js");

/** `request` of undici, for calls that pass a dispatcher. */
exports.request = (url, { dispatcher, ...options }) => {
    const { origin, pathname, search } = new URL(url);
    return dispatcher.request({ ...options, origin, path: pathname + search });
};
