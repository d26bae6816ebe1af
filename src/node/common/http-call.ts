/** HTTP calls whose time limits apply to silence and not to the duration of the whole call. */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { requestUntilAborted } from "./abortable-request.js";

export interface HttpCall {
    readonly method: "GET" | "POST";
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly dispatcher: Dispatcher;
    /** Time until the response headers must arrive, connecting included, milliseconds. */
    readonly headMilliseconds: number;
}

export interface HttpCallResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly text: string;
}

/** Time within which a body must grow by `MINIMUM_PROGRESS_BYTES`, milliseconds. */
const PROGRESS_MILLISECONDS = 900;

/** Growth of a body that counts as progress, bytes: 36 kbit/s. A slower sender counts as silent. */
const MINIMUM_PROGRESS_BYTES = 4096;

/** The other side sent nothing, or too little, within the time limit. */
export class SilenceError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "SilenceError";
    }
}

/**
 * Makes a call and reads its response.
 *
 * A response of any size may take as long as it needs while its bytes keep arriving, so that a slow link does
 * not restart a large transfer; a connection that has gone silent is given up soon.
 *
 * @throws SilenceError
 */
export async function callHttp(url: string, call: HttpCall): Promise<HttpCallResponse> {
    const controller = new AbortController();
    const { signal } = controller;
    const abortAfter = (milliseconds: number, message: string): NodeJS.Timeout =>
        setTimeout(() => controller.abort(new SilenceError(message)), milliseconds);
    let timer = abortAfter(call.headMilliseconds, `no response within ${call.headMilliseconds} ms`);
    const expectProgress = (): void => {
        clearTimeout(timer);
        timer = abortAfter(PROGRESS_MILLISECONDS, "the response stopped arriving");
    };
    try {
        const { statusCode, headers, body } = await requestUntilAborted(url, {
            method: call.method,
            headers: call.headers,
            body: call.body,
            dispatcher: call.dispatcher,
            signal,
        });
        expectProgress();
        const chunks: Buffer[] = [];
        let newBytes = 0;
        for await (const chunk of body as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            newBytes += chunk.length;
            if (newBytes >= MINIMUM_PROGRESS_BYTES) {
                newBytes = 0;
                expectProgress();
            }
        }
        return { status: statusCode, headers, text: Buffer.concat(chunks).toString("utf8") };
    }
    finally {
        clearTimeout(timer);
    }
}
