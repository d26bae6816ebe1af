/**
 * Plays loads on a plain service without a network: one upstream with 6 slots and a queue in each of four data
 * centres, work of 21 to 86 ms, a target latency of 149 ms. An upstream takes 112 requests per second.
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
import { createContext, createTestUpstream } from "./upstream-fixtures.js";

export interface PlainPlayOptions {
    readonly seed: number;
    readonly nodesPerDataCentre: number;
    /** Interval of load reports, milliseconds. */
    readonly reportMilliseconds: number;
    /** Requests per second of the callers in a data centre. */
    readonly rate: (dataCentre: string, second: number) => number;
    /** Speed of the upstream of a data centre. @default 1 */
    readonly speedOf?: (dataCentre: string) => number;
    /** @default false */
    readonly byLoadAlone?: boolean;
}

export interface PlainPlayResult {
    readonly late: number;
    readonly left: number;
}

const DATA_CENTRES = ["a", "b", "c", "d"];
const SLOTS = 6;
const TARGET_MILLISECONDS = 149;
const MINIMUM_WORK_MILLISECONDS = 21;
const MAXIMUM_WORK_MILLISECONDS = 86;
const ROUND_TRIP_MILLISECONDS = 2;
const SECONDS = 20;
const SETTLED_MILLISECONDS = 3000;

const REQUEST: PlacedRequest = {
    service: "desk",
    route: "stock",
    targetLatencyMilliseconds: TARGET_MILLISECONDS,
    bodyBytes: 500,
    expectedEvents: 0,
    affinityKey: undefined,
    isEngine: false,
    model: undefined,
    promptTokens: 0,
    sharedTokens: 0,
};

export function playPlain(options: PlainPlayOptions): PlainPlayResult {
    const random = createSeededRandom(options.seed);
    const upstreams = DATA_CENTRES.map(dataCentre => ({
        upstream: createTestUpstream(dataCentre, { dataCentre, slots: SLOTS }),
        /** Ends of the requests that run or wait, for the earliest slot that becomes free. */
        slotsFreeAt: Array.from({ length: SLOTS }, () => 0),
    }));
    const nodes = DATA_CENTRES.flatMap(dataCentre =>
        Array.from({ length: options.nodesPerDataCentre }, () => {
            const speeds = options.byLoadAlone === true ? undefined : createUpstreamSpeeds();
            const placement = createRequestPlacement({
                dataCentre,
                prefersOwn: options.byLoadAlone !== true,
                speeds,
                prices: DEFAULT_PRICES,
                nodes: () => nodes,
                ownPendingTokens: () => 0,
                prefixUses: createPrefixUses(),
                spillover: createSpillover(random),
                send: () => ({ pause: () => undefined, resume: () => undefined, cancel: () => undefined }),
                countLeft: () => undefined,
                countBytes: () => undefined,
            });
            return { dataCentre, speeds, placement, board: createLoadBoard() };
        }),
    );
    let ends: { readonly at: number; readonly run: () => void }[] = [];
    let requests = 0;
    let late = 0;
    let leaving = 0;

    const serve = (dataCentre: string, now: number): void => {
        const inDataCentre = nodes.filter(node => node.dataCentre === dataCentre);
        const { placement, board } = inDataCentre[Math.floor(random() * inDataCentre.length)]!;
        const choice = chooseUpstream(
            upstreams.map(({ upstream }) => upstream),
            createContext({
                now,
                random,
                loadOf: ({ entry }) => board.total(entry.id, now),
                ...placement.inputs(REQUEST, now),
            }),
        )!;
        const { id } = choice.upstream.entry;
        const placed = placement.begin(REQUEST, choice, board.total(id, now), now);
        const load = board.begin(id, 0, 0);
        const { slotsFreeAt } = upstreams.find(({ upstream }) => upstream === choice.upstream)!;
        const slot = slotsFreeAt.indexOf(Math.min(...slotsFreeAt));
        const range = MAXIMUM_WORK_MILLISECONDS - MINIMUM_WORK_MILLISECONDS;
        const work = (MINIMUM_WORK_MILLISECONDS + range * random()) / (options.speedOf?.(id) ?? 1);
        const endsAt = Math.max(now, slotsFreeAt[slot]!) + work;
        slotsFreeAt[slot] = endsAt;
        const left = id !== dataCentre;
        const answeredAt = endsAt + (left ? ROUND_TRIP_MILLISECONDS : 0);
        ends.push({
            at: answeredAt,
            run: () => {
                load.end();
                placed.recordAnswer(answeredAt);
                placed.end(undefined, answeredAt);
            },
        });
        if (now >= SETTLED_MILLISECONDS) {
            requests += 1;
            late += answeredAt - now > TARGET_MILLISECONDS ? 1 : 0;
            leaving += left ? 1 : 0;
        }
    };

    for (let now = 0; now < SECONDS * 1000; now++) {
        ends.filter(({ at }) => at <= now).forEach(({ run }) => run());
        ends = ends.filter(({ at }) => at > now);
        nodes.forEach((from, index) => {
            const offset = Math.round((index * options.reportMilliseconds) / nodes.length);
            if ((now + offset) % options.reportMilliseconds === 0) {
                const loads = new Map(from.board.ownLoads());
                const speeds = from.speeds?.report(now) ?? [];
                for (const to of nodes.filter(node => node !== from)) {
                    to.board.report(String(index), loads, [], now);
                    to.speeds?.merge(speeds, now);
                }
            }
        });
        for (const dataCentre of DATA_CENTRES) {
            if (random() < options.rate(dataCentre, now / 1000) / 1000) {
                serve(dataCentre, now);
            }
        }
    }
    return { late: late / requests, left: leaving / requests };
}
