/** Server listeners as components of the life cycle. */
import type { Server } from "node:http";
import type { Lifecycle } from "../lifecycle/lifecycle.js";

/** Maximum number of connections that wait to be accepted. */
const LISTEN_BACKLOG = 1024;

/** Adds a component that listens from startup and closes the server and its connections at the stop. */
export function addListener(
    name: string,
    server: Server,
    { address, port }: { readonly address: string; readonly port: number },
    lifecycle: Lifecycle,
): void {
    lifecycle.add({
        name,
        start: async () => {
            await new Promise<void>((resolve, reject) => {
                server.once("error", reject);
                server.listen(port, address, LISTEN_BACKLOG, resolve);
            });
            return () => {
                server.close();
                server.closeAllConnections();
            };
        },
    });
}
