/** Resets connections, so that the other side does not take what it received for complete. */
import type { Socket } from "node:net";

/**
 * Resets a connection at once. `resetAndDestroy` of Node.js sends a regular end first, and the other side may
 * see that before the reset.
 */
export function resetConnection(socket: Socket): void {
    // `destroy` resets the connection when this is set, and there is no public way to set it.
    Object.assign(socket, { resetAndClosing: true });
    socket.destroy();
}
