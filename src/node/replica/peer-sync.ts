/** Reads the tables from random peers while neither the store nor a relay is reachable. */
import { delay } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { RowExchange } from "./row-exchange.js";

/**
 * Interval between calls while disconnected, milliseconds. A fraction of the time limit for applying a
 * change.
 */
const CALL_INTERVAL_MILLISECONDS = 300;

/** Timeout of a call, milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 400;

export interface PeerSyncOptions {
    readonly exchange: RowExchange;
    /** Base URLs of the peers. */
    readonly addresses: () => readonly string[];
    readonly isNeeded: () => boolean;
    readonly random: Random;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

export function createPeerSync(options: PeerSyncOptions): void {
    const { exchange, logger } = options;
    let stopped = false;

    const readFrom = async (peer: string): Promise<void> => {
        const { changed } = await exchange.readFrom(peer, 0, CALL_TIMEOUT_MILLISECONDS, true);
        if (changed.length > 0) {
            logger.info("Took rows from a peer.", { tables: changed.join(","), peer });
        }
    };

    const run = async (): Promise<void> => {
        while (!stopped) {
            await delay(CALL_INTERVAL_MILLISECONDS);
            const addresses = options.isNeeded() ? options.addresses() : [];
            const address = addresses[Math.floor(options.random() * addresses.length)];
            if (address === undefined) {
                continue;
            }
            await readFrom(address).catch((error: unknown) =>
                logger.debug("Could not read rows from a peer.", {
                    peer: address,
                    error: (error as Error).message,
                }),
            );
        }
    };

    options.lifecycle.add({
        name: "peer reads",
        start: () => {
            void run();
            return () => {
                stopped = true;
            };
        },
    });
}
