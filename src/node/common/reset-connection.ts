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
    /** Whether the other side reset the connection before its end was read, or within the delay of that end. */
    wasReset(): boolean;
    /**
     * Reports the end of the connection later to the listeners that were added since the watch began. Until
     * then the connection stays open, so that a reset that follows the end is recognized. Must be called before
     * the end was read.
     */
    delayEnd(milliseconds: number): void;
    stop(): void;
}

/**
 * Recognizes a reset that libuv reports as a regular end, because bytes before it were unread. The operating
 * system knows no peer of a connection that was reset. Must be called before anything reads the remote address
 * of the socket, which Node.js then keeps.
 */
export function watchForReset(socket: Socket): ResetWatch {
    let hasLostPeer = false;
    const checkPeer = (): void => {
        hasLostPeer = socket.remoteAddress === undefined;
    };
    socket.prependListener("end", checkPeer);
    const earlierListeners = new Set(socket.listeners("end"));
    return {
        wasReset: () => hasLostPeer,
        delayEnd: milliseconds => {
            const delayed = socket.listeners("end").filter(listener => !earlierListeners.has(listener));
            delayed.forEach(listener => socket.off("end", listener as () => void));
            // Only the delayed check may read the remote address.
            socket.off("end", checkPeer);
            // Node.js closes the connection at its end otherwise.
            socket.allowHalfOpen = true;
            socket.once("end", () => {
                const timer = setTimeout(() => {
                    checkPeer();
                    delayed.forEach(listener => listener.call(socket));
                }, milliseconds);
                socket.once("close", () => clearTimeout(timer));
            });
        },
        stop: () => socket.off("end", checkPeer),
    };
}
