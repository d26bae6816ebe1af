/** The signals that ask a node to stop or to reload its settings. */

export interface Signals {
    /** Whether SIGTERM or SIGINT has come. */
    isStopRequested(): boolean;
    /** Resolves at the first SIGTERM or SIGINT. */
    readonly stopRequested: Promise<void>;
    /** Calls the function at each SIGHUP from now on, and at once if one has come before. */
    onReload(reload: () => void): void;
}

/** Handles the signals from now on. The handlers stay until the end: without them, a signal ends the process. */
export function createSignals(source: Pick<NodeJS.Process, "on">): Signals {
    let isStopRequested = false;
    let isReloadDue = false;
    let reload = (): void => {
        isReloadDue = true;
    };
    const stopRequested = new Promise<void>(resolve => {
        const requestStop = (): void => {
            isStopRequested = true;
            resolve();
        };
        source.on("SIGTERM", requestStop);
        source.on("SIGINT", requestStop);
    });
    source.on("SIGHUP", () => reload());
    return {
        isStopRequested: () => isStopRequested,
        stopRequested,
        onReload: next => {
            reload = next;
            if (isReloadDue) {
                isReloadDue = false;
                next();
            }
        },
    };
}
