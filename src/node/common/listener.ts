/** Listeners as parts of the life cycle. */
import type { Server } from "node:http";
import type { Lifecycle } from "../lifecycle/lifecycle.js";

/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 1024;

/** Lets a server listen while the process runs. */
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
