/** In-memory engines and booking services that implement the send function of real upstreams. */
import type { UpstreamHandlers, UpstreamRequest, UpstreamSend } from "../../upstreams/send.js";

/** A request that an upstream started to run. */
export interface StartedRequest {
    /** Identifies the request; the caller sends it as the prompt or the booking. */
    readonly tag: string;
    readonly upstream: string;
    readonly version: string;
    readonly at: number;
    /** Whether the request continues an interrupted answer. */
    readonly continues: boolean;
}

export interface UpstreamFaults {
    /** The upstream refuses connections. */
    down: boolean;
    /** Number of next answers that fail midway. */
    breaks: number;
    /** Number of next answers that carry the id of another attempt. */
    crosses: number;
    /** Number of next streams that end early without an error. */
    truncates: number;
}

export interface FakeUpstream {
    readonly name: string;
    readonly address: string;
    /** `MODEL/VERSION`, or empty for a service. */
    readonly version: string;
    readonly faults: UpstreamFaults;
    /** Restarts the upstream; all running requests fail. */
    restart(): void;
    /** Number of running requests. */
    openRequests(): number;
    /** Maximum number of running requests while cold, since the last restart. */
    maximumColdRequests(): number;
    /** Whether the last restart is less than COLD_MILLISECONDS ago. */
    isCold(): boolean;
}

/** Runs a callback in a node now or when a pause of the node ends; discards it when the node has exited. */
export type Deliver = (run: () => void) => void;

export interface FakeUpstreams {
    readonly all: readonly FakeUpstream[];
    /** Requests in the order in which they started. */
    readonly started: readonly StartedRequest[];
    /** Number of runs of each booking. */
    readonly bookings: ReadonlyMap<string, number>;
    sendFrom(deliver: Deliver, hasExited: () => boolean): UpstreamSend;
}

export interface FakeUpstreamDefinition {
    readonly name: string;
    readonly version: string;
}

const CONNECT_MILLISECONDS = 2;
const HEAD_MILLISECONDS = 10;
const TOKEN_MILLISECONDS = 20;
const COLD_MILLISECONDS = 2000;

interface Exchange {
    readonly finish: () => void;
    paused: boolean;
    ended: boolean;
}

export function createFakeUpstreams(definitions: readonly FakeUpstreamDefinition[]): FakeUpstreams {
    const started: StartedRequest[] = [];
    const bookings = new Map<string, number>();
    const states = new Map<string, State>(
        definitions.map((definition): [string, State] => [
            `http://${definition.name}`,
            createState(definition),
        ]),
    );

    function createState({ name, version }: FakeUpstreamDefinition) {
        const state = {
            name,
            version,
            address: `http://${name}`,
            boot: 1,
            bootedAt: -Infinity,
            maximumColdRequests: 0,
            running: new Set<Exchange>(),
            streams: new Map<string, { readonly tag: string; readonly total: number }>(),
            faults: {
                down: false,
                breaks: 0,
                crosses: 0,
                truncates: 0,
            } satisfies UpstreamFaults as UpstreamFaults,
        };
        return state;
    }
    type State = ReturnType<typeof createState>;

    const isCold = (state: State): boolean => Date.now() - state.bootedAt < COLD_MILLISECONDS;

    const consumeFault = (state: State, fault: "breaks" | "crosses" | "truncates"): boolean => {
        if (state.faults[fault] <= 0) {
            return false;
        }
        state.faults[fault] -= 1;
        return true;
    };

    const serve = (
        state: State,
        request: UpstreamRequest,
        deliver: Deliver,
        handlers: UpstreamHandlers,
    ): Exchange => {
        const exchange: Exchange = {
            paused: false,
            ended: false,
            finish: () => {
                exchange.ended = true;
                state.running.delete(exchange);
            },
        };
        const fail = (reason: string): void => {
            if (!exchange.ended) {
                exchange.finish();
                deliver(() => handlers.onFailure("may-have-run", reason, true, false));
            }
        };
        state.running.add(exchange);
        if (isCold(state)) {
            state.maximumColdRequests = Math.max(state.maximumColdRequests, state.running.size);
        }
        const crossed = consumeFault(state, "crosses");
        const headers = {
            "attempt-id": crossed ? "another-attempt" : request.headers["attempt-id"]!,
            "boot-id": `${state.name}-${state.boot}`,
        };
        const reply = (status: number, more: Record<string, string>, body: string): void => {
            setTimeout(() => {
                if (exchange.ended) {
                    return;
                }
                exchange.finish();
                deliver(() => {
                    handlers.onHead(status, { ...headers, ...more });
                    handlers.onChunk(Buffer.from(body));
                    handlers.onEnd();
                });
            }, HEAD_MILLISECONDS);
        };
        const body = JSON.parse(String(request.body ?? "{}")) as Record<string, unknown>;
        if (state.version === "") {
            const booking = String(body["booking"]);
            bookings.set(booking, (bookings.get(booking) ?? 0) + 1);
            started.push({
                tag: booking,
                upstream: state.name,
                version: "",
                at: Date.now(),
                continues: false,
            });
            if (consumeFault(state, "breaks")) {
                setTimeout(() => fail("the connection closed"), HEAD_MILLISECONDS);
            }
            else {
                reply(201, {}, JSON.stringify({ booking, run: bookings.get(booking) }));
            }
            return exchange;
        }
        const resumed = /^\/v1\/streams\/([^/]+)\/resume$/.exec(request.path);
        const resumedStream =
            resumed === null ? undefined : state.streams.get(decodeURIComponent(resumed[1]!));
        if (resumed !== null && resumedStream === undefined) {
            reply(410, { verdict: "not-run" }, "{}");
            return exchange;
        }
        const continuation = body["continue_from"] as { readonly offset: number } | undefined;
        const tag = resumedStream?.tag ?? (body["messages"] as { content: string }[])[0]!.content;
        const total = resumedStream?.total ?? (body["max_tokens"] as number);
        let sent = resumed === null ? (continuation?.offset ?? 0) : (body["offset"] as number);
        started.push({
            tag,
            upstream: state.name,
            version: state.version,
            at: Date.now(),
            continues: sent > 0,
        });
        const streamId = `${tag}#${started.length}`;
        state.streams.set(streamId, { tag, total });
        const breakAt = consumeFault(state, "breaks") ? Math.floor((sent + total) / 2) : Infinity;
        const truncateAt = consumeFault(state, "truncates") ? Math.floor((sent + total) / 2) : Infinity;
        const step = (): void => {
            if (exchange.ended) {
                return;
            }
            if (exchange.paused) {
                setTimeout(step, TOKEN_MILLISECONDS);
                return;
            }
            if (sent >= breakAt) {
                fail("the stream failed");
                return;
            }
            if (sent >= truncateAt) {
                exchange.finish();
                deliver(() => handlers.onEnd());
                return;
            }
            sent += 1;
            const last = sent >= total;
            const text = formatEvent(tag, sent, last, total);
            deliver(() => handlers.onChunk(Buffer.from(text)));
            if (last) {
                exchange.finish();
                deliver(() => handlers.onEnd());
            }
            else {
                setTimeout(step, TOKEN_MILLISECONDS);
            }
        };
        setTimeout(() => {
            if (!exchange.ended) {
                const offset = String(sent);
                deliver(() =>
                    handlers.onHead(200, { ...headers, "stream-id": streamId, "stream-offset": offset }),
                );
                step();
            }
        }, HEAD_MILLISECONDS);
        return exchange;
    };

    return {
        all: [...states.values()].map(state => ({
            name: state.name,
            address: state.address,
            version: state.version,
            faults: state.faults,
            restart: () => {
                const broken = [...state.running];
                state.boot += 1;
                state.bootedAt = Date.now();
                state.maximumColdRequests = 0;
                state.streams.clear();
                broken.forEach(exchange => restartHandlers.get(exchange)?.());
            },
            openRequests: () => state.running.size,
            maximumColdRequests: () => state.maximumColdRequests,
            isCold: () => isCold(state),
        })),
        started,
        bookings,
        sendFrom: (deliver, hasExited) => (request, handlers) => {
            const state = states.get(request.address)!;
            let exchange: Exchange | undefined;
            let ended = false;
            const unlessEnded = (run: () => void): void => {
                if (!ended) {
                    run();
                }
            };
            const handlersUntilEnd: UpstreamHandlers = {
                onHead: (status, headers) => unlessEnded(() => handlers.onHead(status, headers)),
                onChunk: chunk => unlessEnded(() => handlers.onChunk(chunk)),
                onEnd: () =>
                    unlessEnded(() => {
                        ended = true;
                        handlers.onEnd();
                    }),
                onFailure: (verdict, reason, isBrokenOff, isRefused) =>
                    unlessEnded(() => {
                        ended = true;
                        handlers.onFailure(verdict, reason, isBrokenOff, isRefused);
                    }),
            };
            setTimeout(() => {
                if (hasExited() || ended) {
                    return;
                }
                if (state.faults.down) {
                    deliver(() => handlersUntilEnd.onFailure("not-run", "connection refused", false, true));
                    return;
                }
                exchange = serve(state, request, deliver, handlersUntilEnd);
                restartHandlers.set(exchange, () => {
                    exchange!.finish();
                    deliver(() =>
                        handlersUntilEnd.onFailure("may-have-run", "the upstream restarted", true, false),
                    );
                });
            }, CONNECT_MILLISECONDS);
            return {
                pause: () => {
                    if (exchange !== undefined) {
                        exchange.paused = true;
                    }
                },
                resume: () => {
                    if (exchange !== undefined) {
                        exchange.paused = false;
                    }
                },
                cancel: () => {
                    const reached = exchange !== undefined;
                    // A plain service continues a call after the connection has closed.
                    if (state.version !== "") {
                        exchange?.finish();
                    }
                    handlersUntilEnd.onFailure(
                        reached ? "may-have-run" : "not-run",
                        "cancelled",
                        false,
                        false,
                    );
                },
            };
        },
    };
}

const restartHandlers = new WeakMap<Exchange, () => void>();

/** Text of the token at an index of the answer to a request. Indexes start at 1. */
export function tokenText(tag: string, index: number): string {
    return `${tag}-${index} `;
}

function formatEvent(tag: string, offset: number, last: boolean, total: number): string {
    const event = {
        choices: [
            { index: 0, delta: { content: tokenText(tag, offset) }, finish_reason: last ? "stop" : null },
        ],
        ...(last ? { usage: { prompt_tokens: 1, completion_tokens: total } } : {}),
    };
    return `id: ${offset}\ndata: ${JSON.stringify(event)}\n\n${last ? "data: [DONE]\n\n" : ""}`;
}
