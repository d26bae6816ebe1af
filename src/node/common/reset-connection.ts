/** Resets connections, and tells whether the other side has reset one, so that nothing cut looks complete. */
import type { Socket } from "node:net";

/**
 * Resets a connection at once. `resetAndDestroy` of Node.js sends a regular end first, and the other side may
 * see that before the reset. A connection that is ending is closed: libuv rejects its reset (EINVAL), after which
 * Node.js never closes it.
 */
export function resetConnection(socket: Socket): void {
    if (socket.writableEnded && !socket.writableFinished) {
        socket.destroy();
        return;
    }
    // `destroy` resets the connection when this is set, and there is no public way to set it.
    Object.assign(socket, { resetAndClosing: true });
    socket.destroy();
}

/** Time for the other sides to read what was sent before the resets at an exit, milliseconds. */
const EXIT_READ_MILLISECONDS = 50;

/** Resets connections from a listener for the exit of the process, in which nothing asynchronous runs any more. */
export function resetAtExit(sockets: readonly Socket[]): void {
    if (sockets.length > 0) {
        const until = performance.now() + EXIT_READ_MILLISECONDS;
        while (performance.now() < until) {
            // Nothing but the clock moves here.
        }
        sockets.forEach(resetConnection);
    }
}

/** Watches the end of a connection. */
export interface ResetWatch {
    /** Whether the other side reset the connection before its end was read. */
    wasReset(): boolean;
    stop(): void;
}

/**
 * Recognizes a reset that libuv reports as a regular end, because bytes before it were unread. The operating
 * system knows no peer of a connection that was reset. Must be called before anything reads the remote address
 * of the socket, which Node.js then keeps.
 */
export function watchForReset(socket: Socket): ResetWatch {
    let hasLostPeer = false;
    const onEnd = (): void => {
        hasLostPeer = socket.remoteAddress === undefined;
    };
    socket.prependListener("end", onEnd);
    return { wasReset: () => hasLostPeer, stop: () => socket.off("end", onEnd) };
}
