/** HTTP requests that end when their signal is aborted, whatever they wait for. */
import { request } from "undici";
import type { Dispatcher } from "undici";

export interface RequestOptions {
    readonly method?: Dispatcher.HttpMethod;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly dispatcher: Dispatcher;
    readonly signal: AbortSignal;
}

/**
 * Sends a request and resolves with the head of its response.
 *
 * undici itself looks at the signal only when it has a connection, so a request to a host that does not answer
 * connection attempts, or behind other requests, would outlast it.
 *
 * @throws the reason of the signal when it is aborted before the head has arrived
 */
export async function requestUntilAborted(
    url: string,
    options: RequestOptions,
): Promise<Dispatcher.ResponseData> {
    const { signal } = options;
    signal.throwIfAborted();
    let stopListening: () => void = () => undefined;
    const aborted = new Promise<never>((_resolve, reject) => {
        const listener = (): void => reject(signal.reason as Error);
        signal.addEventListener("abort", listener, { once: true });
        stopListening = () => signal.removeEventListener("abort", listener);
    });
    try {
        return await Promise.race([request(url, options), aborted]);
    }
    finally {
        stopListening();
    }
}
