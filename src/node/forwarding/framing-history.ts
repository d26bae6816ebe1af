/** Knows how many streams of a service come without framing, which decides whether their ends can be confirmed. */
import { createBoundedMap } from "../common/bounded-map.js";

export interface FramingHistory {
    /** Records the head of a stream. `isFramed` states that it has a length or chunks. */
    record(service: string, isFramed: boolean): void;
    /** Share of the recent streams of a service that have neither a length nor chunks, 0 to 1. */
    unframedShare(service: string): number;
}

/** Streams after which older ones count half. */
const WINDOW_STREAMS = 64;

const MAXIMUM_SERVICES = 1024;

/** Share of streams without framing that may end in chunks although nothing confirmed their end. */
const MAXIMUM_UNCONFIRMED_SHARE = 0.02;

interface Counts {
    readonly streams: number;
    readonly unframed: number;
}

/** Without a history, streams are taken to have no framing, which is the safe assumption for their callers. */
const NO_STREAMS: Counts = { streams: 0, unframed: 0 };

export function createFramingHistory(): FramingHistory {
    const countsByService = createBoundedMap<Counts>(MAXIMUM_SERVICES);
    return {
        record: (service, isFramed) => {
            const known = countsByService.get(service) ?? NO_STREAMS;
            const weight = known.streams >= WINDOW_STREAMS ? 0.5 : 1;
            countsByService.set(service, {
                streams: known.streams * weight + 1,
                unframed: known.unframed * weight + (isFramed ? 0 : 1),
            });
        },
        unframedShare: service => {
            const { streams, unframed } = countsByService.get(service) ?? NO_STREAMS;
            return (unframed + 1) / (streams + 1);
        },
    };
}

/**
 * Whether an attempt with framing will probably confirm the end of a stream that began without.
 *
 * @param attempts Further attempts that the request has.
 */
export function expectsConfirmation(unframedShare: number, attempts: number): boolean {
    return attempts > 0 && unframedShare ** attempts <= MAXIMUM_UNCONFIRMED_SHARE;
}
