// The parts of undici that the router uses; the whole package also loads fetch, caches and web sockets.
const Agent = require("undici/lib/dispatcher/agent.js");
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");

Dispatcher.prototype.request = require("undici/lib/api/api-request.js");

exports.Agent = Agent;
exports.buildConnector = require("undici/lib/core/connect.js");

/** Like `request` of undici, for calls that name their dispatcher. */
exports.request = (url, { dispatcher, ...options }) => {
    const { origin, pathname, search } = new URL(url);
    return dispatcher.request({ ...options, origin, path: pathname + search });
};
