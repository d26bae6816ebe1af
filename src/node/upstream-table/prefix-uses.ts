/**
 * Counts how often this node sends requests with the same prompt prefix, from which follows whether an upstream
 * of the own data centre will have the prefix cached, and how many upstreams a prefix needs.
 *
 * Designed for some thousand prefixes at a time. A node sees only its own requests; callers choose nodes
 * evenly, so the other nodes of its data centre see about as many each.
 */
import { createBoundedMap } from "../common/bounded-map.js";

export interface PrefixUse {
    /** Requests of this node with the prefix, of which those before the half-life count half. */
    readonly recentRequests: number;
    /** Average number of such requests that are in flight from this node. */
    readonly requestsInFlight: number;
}

export interface PrefixUses {
    use(key: string, now: number): PrefixUse;
    /** Records a request that is sent; the returned function records its end. */
    begin(key: string, now: number): () => void;
}

interface PrefixState {
    recentRequests: number;
    changedAt: number;
    inFlight: number;
    averageInFlight: number;
}

/**
 * Time after which a use of a prefix counts half, milliseconds. How long engines keep a prefix is not known; it
 * depends on their load.
 */
const HALF_LIFE_MILLISECONDS = 30_000;

/** Weight of the newest request in the average number in flight. */
const IN_FLIGHT_WEIGHT = 0.2;

const MAXIMUM_PREFIXES = 4096;

/**
 * Recent requests that are assumed for a prefix that this node has not sent: another node may have. One in
 * twenty, so that a prefix counts as rare until this node has seen it.
 */
const ASSUMED_REQUESTS = 0.05;

const UNSEEN: PrefixUse = { recentRequests: ASSUMED_REQUESTS, requestsInFlight: 0 };

export function createPrefixUses(): PrefixUses {
    const states = createBoundedMap<PrefixState>(MAXIMUM_PREFIXES);

    const decayed = ({ recentRequests, changedAt }: PrefixState, now: number): number =>
        recentRequests * 0.5 ** ((now - changedAt) / HALF_LIFE_MILLISECONDS);

    return {
        use: (key, now) => {
            const state = states.get(key);
            return state === undefined
                ? UNSEEN
                : {
                      recentRequests: Math.max(ASSUMED_REQUESTS, decayed(state, now)),
                      requestsInFlight: state.averageInFlight,
                  };
        },
        begin: (key, now) => {
            const state = states.get(key) ?? {
                recentRequests: 0,
                changedAt: now,
                inFlight: 0,
                averageInFlight: 0,
            };
            state.recentRequests = decayed(state, now) + 1;
            state.changedAt = now;
            state.inFlight += 1;
            state.averageInFlight += IN_FLIGHT_WEIGHT * (state.inFlight - state.averageInFlight);
            states.set(key, state);
            return () => {
                state.inFlight -= 1;
            };
        },
    };
}
