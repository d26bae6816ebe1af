/** Probes upstreams when attempts fail, and knows whether this node is isolated from them. */
import { connect } from "node:net";
import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import { INITIAL_ISOLATION, isIsolated, recordFailure, recordRound, shouldProbe } from "./isolation.js";

export interface Reachability {
    /** Records an attempt that got no connection or no answer from an upstream. */
    recordFailure(address: string): void;
    isIsolated(): boolean;
}

export interface ReachabilityOptions {
    /** Addresses of the upstreams of all services, `ip:port`. */
    readonly addresses: () => readonly string[];
    /** Whether a connection to the address can be established. */
    readonly probe: (address: string) => Promise<boolean>;
    readonly clock: Clock;
    readonly random: Random;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

const PROBES_PER_ROUND = 3;

const TICK_MILLISECONDS = 50;

/** Time to establish a connection, milliseconds: many round trips within a region. */
const PROBE_MILLISECONDS = 400;

const MAXIMUM_PORT = 65_535;

/** Result of an attempt to connect to an address. */
export type ProbeResult =
    | "connected"
    /** The machine answers, and no process listens at the port. One that is full resets connections instead. */
    | "refused"
    | "unreachable";

/** Establishes a TCP connection and closes it. */
export function probeAddress(address: string): Promise<ProbeResult> {
    const separator = address.lastIndexOf(":");
    const port = Number(address.slice(separator + 1));
    if (!Number.isInteger(port) || port < 0 || port > MAXIMUM_PORT) {
        return Promise.resolve("unreachable");
    }
    const socket = connect({ host: address.slice(0, separator), port });
    return new Promise(resolve => {
        const finish = (result: ProbeResult): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(result);
        };
        const timer = setTimeout(() => finish("unreachable"), PROBE_MILLISECONDS);
        socket.once("connect", () => finish("connected"));
        socket.once("error", (error: NodeJS.ErrnoException) =>
            finish(error.code === "ECONNREFUSED" ? "refused" : "unreachable"),
        );
    });
}

/** Whether a connection to the address can be established. */
export async function probeConnection(address: string): Promise<boolean> {
    return (await probeAddress(address)) === "connected";
}

function sample(addresses: readonly string[], count: number, random: Random): readonly string[] {
    const rest = [...addresses];
    return Array.from(
        { length: Math.min(count, rest.length) },
        () => rest.splice(Math.floor(random() * rest.length), 1)[0]!,
    );
}

export function createReachability(options: ReachabilityOptions): Reachability {
    const { clock, logger } = options;
    let state = INITIAL_ISOLATION;
    let isProbing = false;

    const probeRound = async (): Promise<void> => {
        isProbing = true;
        const addresses = sample(options.addresses(), PROBES_PER_ROUND, options.random);
        const results = await Promise.all(addresses.map(options.probe)).catch((error: unknown) => {
            logger.warn("Could not probe upstreams.", { error: (error as Error).message });
            return undefined;
        });
        if (results === undefined) {
            isProbing = false;
            return;
        }
        const wasIsolated = isIsolated(state);
        // Without upstreams there is nothing to be isolated from.
        state = recordRound(state, addresses.length === 0 || results.includes(true), clock.now());
        isProbing = false;
        if (isIsolated(state) !== wasIsolated) {
            if (wasIsolated) {
                logger.info("The node reaches upstreams again.", { probed: addresses.join(" ") });
            }
            else {
                logger.warn("The node reaches no upstream; other nodes take its requests.", {
                    probed: addresses.join(" "),
                });
            }
        }
    };

    options.lifecycle.add({
        name: "reachability",
        start: () => {
            const timer = setInterval(() => {
                if (!isProbing && shouldProbe(state, clock.now())) {
                    void probeRound();
                }
            }, TICK_MILLISECONDS);
            return () => clearInterval(timer);
        },
    });

    return {
        recordFailure: address => {
            state = recordFailure(state, address, clock.now());
        },
        isIsolated: () => isIsolated(state),
    };
}
