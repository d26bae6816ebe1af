/**
 * Weighs what it costs to send a request to another data centre, and to read a prompt prefix again, against the
 * delay that callers notice. Pure functions.
 *
 * Designed for requests of 1 to 100 KB with prefixes of up to 12,000 prompt tokens and target latencies of 150
 * to 6,000 ms. All prices are expressed in bytes between data centres, so that no currency is needed.
 */

/** Prices, in bytes between data centres that cost as much. */
export interface PlacementPrices {
    /** An answer in time. */
    readonly answerBytes: number;
    /** A prompt token that is read although another upstream has it cached. */
    readonly promptTokenBytes: number;
}

/**
 * Prices of the platform: 1,900 units for a GB, 0.035 to 0.038 units for 1,000 prompt tokens. Answers in time
 * earn 0.35 to 4.5 units; 1.5 units are 800 KB.
 */
export const DEFAULT_PRICES: PlacementPrices = { answerBytes: 800_000, promptTokenBytes: 19 };

/** Size of an event of a stream with its framing, bytes. */
const EVENT_BYTES = 150;

/** Headers of a request and of its answer together, bytes. */
const HEADER_BYTES = 1500;

/** Relative delay from which the expected loss grows linearly. */
const LINEAR_FROM = 0.5;

/** Bytes that would cross between data centres: request, answer and their headers. */
export function crossingBytes(bodyBytes: number, expectedEvents: number): number {
    return HEADER_BYTES + bodyBytes + EVENT_BYTES * expectedEvents;
}

/**
 * Expected loss of an answer, as a share of its worth, when the request waits for this part of its target
 * latency. Convex: a queue of a twentieth of the target hardly ever makes an answer late, while one of half the
 * target often does, because engines pause and the loads of other nodes are up to 0.5 s old.
 */
function expectedLoss(relativeDelay: number): number {
    return relativeDelay <= LINEAR_FROM
        ? 2 * relativeDelay * relativeDelay
        : 2 * relativeDelay - 2 * LINEAR_FROM * (1 - LINEAR_FROM);
}

/** Inverse of `expectedLoss`. */
function relativeDelayOf(loss: number): number {
    return loss <= 2 * LINEAR_FROM * LINEAR_FROM
        ? Math.sqrt(loss / 2)
        : (loss + 2 * LINEAR_FROM * (1 - LINEAR_FROM)) / 2;
}

/**
 * Delay without a price that is as bad as `delay` with a price of `bytes`, milliseconds. The difference is the
 * delay that must be saved to be worth the price; it shrinks as the delay grows.
 */
export function delayWithPrice(
    delay: number,
    bytes: number,
    targetLatencyMilliseconds: number,
    prices: PlacementPrices,
): number {
    if (bytes <= 0) {
        return delay;
    }
    const loss = expectedLoss(delay / targetLatencyMilliseconds) + bytes / prices.answerBytes;
    return targetLatencyMilliseconds * relativeDelayOf(loss);
}
