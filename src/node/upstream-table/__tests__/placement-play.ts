/**
 * Plays loads on the placement without a network: nodes and engines in three data centres, loads of other nodes
 * that arrive at intervals, cached prefixes, engines that pause.
 */
import { createSeededRandom } from "../../common/random.js";
import { createLoadBoard } from "../load-board.js";
import { DEFAULT_PRICES } from "../leaving-cost.js";
import { createPrefixUses } from "../prefix-uses.js";
import { createRequestPlacement } from "../request-placement.js";
import type { PlacedRequest } from "../request-placement.js";
import { createSpillover } from "../spillover.js";
import { chooseUpstream } from "../upstream-choice.js";
import { createUpstreamSpeeds } from "../upstream-speeds.js";
import type { UpstreamSpeed } from "../upstream-speeds.js";
import type { RegisteredUpstream } from "../upstream-table.js";
import { createContext, createTestUpstream } from "./upstream-fixtures.js";

export const DATA_CENTRES = ["patio", "lavado", "terraza"] as const;

export type DataCentre = (typeof DATA_CENTRES)[number];

export interface PlayOptions {
    readonly seed: number;
    readonly seconds: number;
    /** Requests per second of the callers in a data centre. */
    readonly rate: (dataCentre: DataCentre, second: number) => number;
    /** @default true */
    readonly prefersOwn?: boolean;
    /** @default true */
    readonly learnsSpeeds?: boolean;
    /** Speed of each engine relative to 56.9 prompt tokens per millisecond. @default 1 */
    readonly speedOf?: (engine: string) => number;
    /** Whether an engine may receive requests. @default always */
    readonly isUsable?: (dataCentre: DataCentre, second: number) => boolean;
    /** One request in so many has 54,600 prompt tokens. @default none */
    readonly longPromptEvery?: number;
    /** Share of the requests with the same prefix; the others share 12 prefixes. @default 0 */
    readonly hotShare?: number;
    /** @default 4 */
    readonly nodesPerDataCentre?: number;
    /** Interval of load reports, milliseconds. @default 100 */
    readonly reportMilliseconds?: number;
    /** Called at the end with the speeds that the first node has learnt. */
    readonly onEnd?: (speedOf: (engine: string) => UpstreamSpeed | undefined) => void;
}

export interface PlayedRequest {
    readonly at: number;
    readonly dataCentre: DataCentre;
    readonly engine: string;
    readonly left: boolean;
    readonly isLong: boolean;
    readonly firstEventMilliseconds: number;
    readonly isLate: boolean;
    /** Tokens of the shared prefix that the engine had to read. */
    readonly readAgain: number;
}

const ENGINES_PER_DATA_CENTRE = 3;
const TOKENS_PER_MILLISECOND = 56.9;
export const TARGET_MILLISECONDS = 1500;
const SHARED_TOKENS = 2000;
const PROMPT_TOKENS = 3000;
const LONG_PROMPT_TOKENS = 54_600;
const EVENTS = 100;
const PREFIXES = 12;
const PAUSE_SHARE = 0.15;
const PAUSE_FACTOR = 2.5;
const ROUND_TRIP_MILLISECONDS = 2;

interface Engine {
    readonly upstream: RegisteredUpstream;
    readonly speed: number;
    readonly cached: Set<string>;
    busyUntil: number;
    running: number;
}

interface PlayEvent {
    readonly at: number;
    readonly run: () => void;
}

export function play(options: PlayOptions): readonly PlayedRequest[] {
    const random = createSeededRandom(options.seed);
    const engines = DATA_CENTRES.flatMap(dataCentre =>
        Array.from({ length: ENGINES_PER_DATA_CENTRE }, (_, index): Engine => {
            const id = `${dataCentre}${index}`;
            return {
                upstream: createTestUpstream(id, { dataCentre, slots: 64 }),
                speed: options.speedOf?.(id) ?? 1,
                cached: new Set(),
                busyUntil: 0,
                running: 0,
            };
        }),
    );
    const nodes = DATA_CENTRES.flatMap(dataCentre =>
        Array.from({ length: options.nodesPerDataCentre ?? 4 }, () => {
            const board = createLoadBoard();
            const speeds = options.learnsSpeeds === false ? undefined : createUpstreamSpeeds();
            const placement = createRequestPlacement({
                dataCentre,
                prefersOwn: options.prefersOwn ?? true,
                speeds,
                prices: DEFAULT_PRICES,
                nodes: () => nodes,
                ownPendingTokens: id => board.ownLoads().get(id)?.pendingTokens ?? 0,
                prefixUses: createPrefixUses(),
                spillover: createSpillover(random),
                send: () => ({ pause: () => undefined, resume: () => undefined, cancel: () => undefined }),
                countLeft: () => undefined,
                countBytes: () => undefined,
            });
            return { dataCentre, placement, speeds, board };
        }),
    );
    const played: PlayedRequest[] = [];
    let pending: PlayEvent[] = [];

    const serve = (dataCentre: DataCentre, now: number): void => {
        const inDataCentre = nodes.filter(node => node.dataCentre === dataCentre);
        const { placement, board } = inDataCentre[Math.floor(random() * inDataCentre.length)]!;
        const isLong = options.longPromptEvery !== undefined && random() < 1 / options.longPromptEvery;
        const isHot = random() < (options.hotShare ?? 0);
        const key = isLong ? `long ${now}` : isHot ? "hot" : `prefix ${Math.floor(random() * PREFIXES)}`;
        const promptTokens = isLong ? LONG_PROMPT_TOKENS : PROMPT_TOKENS;
        const sharedTokens = isLong ? 0 : SHARED_TOKENS;
        const request: PlacedRequest = {
            service: "engines",
            route: "reports",
            targetLatencyMilliseconds: TARGET_MILLISECONDS,
            bodyBytes: 4 * promptTokens,
            expectedEvents: EVENTS,
            affinityKey: key,
            isEngine: true,
            model: undefined,
            promptTokens,
            sharedTokens,
        };
        const usable = engines.filter(({ upstream }) => {
            const at = upstream.entry.dataCentre as DataCentre;
            return options.isUsable?.(at, now / 1000) ?? true;
        });
        const choice = chooseUpstream(
            usable.map(({ upstream }) => upstream),
            createContext({
                now,
                random,
                affinityKey: key,
                sharedTokens,
                loadOf: ({ entry }) => board.total(entry.id, now),
                ...placement.inputs(request, now),
            }),
        )!;
        const { upstream } = choice;
        const engine = engines.find(candidate => candidate.upstream === upstream)!;
        const placed = placement.begin(request, choice, board.total(upstream.entry.id, now), now);
        const load = board.begin(upstream.entry.id, placed.pendingTokens, promptTokens);
        const readAgain = engine.cached.has(key) ? 0 : sharedTokens;
        engine.cached.add(key);
        engine.running += 1;
        const left = upstream.entry.dataCentre !== dataCentre;
        const pause = random() < PAUSE_SHARE ? PAUSE_FACTOR : 1;
        const tokens = promptTokens - sharedTokens + readAgain;
        const read = (tokens / (TOKENS_PER_MILLISECOND * engine.speed)) * pause;
        const step = (3.2 + 0.1 * engine.running) / engine.speed;
        engine.busyUntil = Math.max(now, engine.busyUntil) + read;
        const firstAt = engine.busyUntil + step + (left ? ROUND_TRIP_MILLISECONDS : 0);
        const endsAt = firstAt + EVENTS * step;
        pending.push(
            {
                at: firstAt,
                run: () => {
                    load.promptRead();
                    placed.recordAnswer(firstAt);
                },
            },
            {
                at: endsAt,
                run: () => {
                    load.end();
                    engine.running -= 1;
                    placed.end(step, endsAt);
                },
            },
        );
        played.push({
            at: now,
            dataCentre,
            engine: upstream.entry.id,
            left,
            isLong,
            firstEventMilliseconds: firstAt - now,
            isLate: firstAt - now > TARGET_MILLISECONDS,
            readAgain,
        });
    };

    const reportMilliseconds = options.reportMilliseconds ?? 100;

    const share = (now: number): void => {
        nodes.forEach((from, index) => {
            // Nodes report at different times.
            if (
                (now + 5 * Math.round((index * reportMilliseconds) / nodes.length / 5)) %
                    reportMilliseconds !==
                0
            ) {
                return;
            }
            const loads = new Map(from.board.ownLoads());
            const speeds = from.speeds?.report(now);
            for (const to of nodes) {
                if (to !== from) {
                    to.board.report(String(index), loads, [], now);
                    if (speeds !== undefined) {
                        to.speeds?.merge(speeds, now);
                    }
                }
            }
        });
    };

    for (let now = 0; now < options.seconds * 1000; now += 5) {
        const due = pending.filter(({ at }) => at <= now).sort((first, second) => first.at - second.at);
        pending = pending.filter(({ at }) => at > now);
        due.forEach(({ run }) => run());
        share(now);
        for (const dataCentre of DATA_CENTRES) {
            const expected = options.rate(dataCentre, now / 1000) / 200;
            const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
            for (let arrival = 0; arrival < arrivals; arrival++) {
                serve(dataCentre, now);
            }
        }
    }
    options.onEnd?.(id => {
        const engine = engines.find(({ upstream }) => upstream.entry.id === id)!;
        return nodes[0]!.speeds?.speedOf("engines", "", engine.upstream.process, options.seconds * 1000);
    });
    return played;
}

/** Share of the requests for which a condition holds. */
export function shareOf(
    requests: readonly PlayedRequest[],
    condition: (request: PlayedRequest) => boolean,
): number {
    return requests.length === 0 ? 0 : requests.filter(condition).length / requests.length;
}

/** Price of the bytes that crossed and of the prefixes that were read again, in bytes per request. */
export function priceOf(requests: readonly PlayedRequest[]): number {
    const crossing = 1500 + 4 * PROMPT_TOKENS + 150 * EVENTS;
    const sum = requests.reduce(
        (bytes, { left, readAgain }) =>
            bytes + (left ? crossing : 0) + readAgain * DEFAULT_PRICES.promptTokenBytes,
        0,
    );
    return sum / requests.length;
}
