/** Simulates a shift of a service whose new version may be faulty, on coordinators of several nodes. */
import type { TestContext } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import type { ShiftOrder } from "../shift.js";
import { resolveShiftSettings } from "../exposure-plan.js";
import { evidenceGroupOf } from "../shift-evidence.js";
import { UPSTREAMS, advanceTime, createShiftNodes } from "./shift-nodes.js";

export interface SimulatedRoute {
    readonly name: string;
    /** Share of the requests. */
    readonly share: number;
    /** Share of requests that fail on every version. */
    readonly errorShare: number;
    /** Attempts per request. */
    readonly attempts: number;
}

/** What is wrong with the new version, for a share of its answers. */
export interface SimulatedFault {
    readonly kind: "errors" | "slow" | "under load" | "half of the slots" | "one route" | "late";
    readonly share: number;
    /** Start of a fault that shows late, milliseconds after the order. */
    readonly startsAt?: number;
}

export interface ShiftScenario {
    readonly seed: number;
    readonly nodes: number;
    /** First requests per second; callers send a failed request once more. */
    readonly requestsPerSecond: number;
    /** Mean time that an upstream works on a request, milliseconds. @default 86 */
    readonly workMilliseconds?: number;
    readonly routes: readonly SimulatedRoute[];
    readonly fault: SimulatedFault | undefined;
}

export interface ShiftOutcome {
    readonly report: string | undefined;
    /** Attempts at the new version, from the order to the end of its duration. */
    readonly newAttempts: number;
    /** Attempts at both versions in that time. */
    readonly attempts: number;
    /** Attempts at the new version more than `ROLLBACK_MILLISECONDS` after its 50th bad answer. */
    readonly lateAttempts: number;
}

const START_TIME = 100_000;
const DURATION_MILLISECONDS = 16_000;
const END_MILLISECONDS = 36_000;
const STEP_MILLISECONDS = 100;
const ROLLBACK_MILLISECONDS = 5000;
const BAD_ANSWERS = 50;
const MEAN_WORK_MILLISECONDS = 86;
const SLOWDOWN = 8;
const SLOTS = 6;
const PLACE_SEED_OFFSET = 1000;

export const EXPOSURE_SHARE = 0.15;
export const EXPOSURE_REQUESTS = 30;

const order: ShiftOrder = {
    service: "app",
    version: "v2",
    durationMilliseconds: DURATION_MILLISECONDS,
    revision: 9,
    receivedAt: START_TIME,
};

/** Whether the faulty version got no more requests than allowed, and none long after its 50th bad answer. */
export function isWithinBounds({ newAttempts, attempts, lateAttempts }: ShiftOutcome): boolean {
    return newAttempts <= EXPOSURE_SHARE * attempts + EXPOSURE_REQUESTS && lateAttempts === 0;
}

function countArrivals(random: Random, mean: number): number {
    let count = -1;
    for (let product = 1; product > Math.exp(-mean); count++) {
        product *= random();
    }
    return count;
}

function pickRoute(routes: readonly SimulatedRoute[], point: number): SimulatedRoute {
    let sum = 0;
    return routes.find(route => (sum += route.share) > point) ?? routes.at(-1)!;
}

export async function simulateShift(context: TestContext, scenario: ShiftScenario): Promise<ShiftOutcome> {
    context.mock.timers.enable({ apis: ["setInterval", "Date"], now: START_TIME });
    const random = createSeededRandom(scenario.seed);
    /** Draws where and when requests arrive, so that these draws leave the others as they are. */
    const randomPlace = createSeededRandom(scenario.seed + PLACE_SEED_OFFSET);
    const { fault, routes } = scenario;
    const settings = resolveShiftSettings(
        {
            exposureShare: EXPOSURE_SHARE,
            exposureRequests: EXPOSURE_REQUESTS,
            sessionMilliseconds: 5000,
        },
        DURATION_MILLISECONDS,
    );
    const names = Array.from({ length: scenario.nodes }, (_, index) => `n${index}`);
    /** Ends of the requests in flight, by version and upstream. */
    const ends = new Map<string, number[]>();
    let now = 0;
    const nodes = createShiftNodes(names, order, settings, () => ({
        requestsInFlight: [...ends.values()].flat().filter(end => end > now).length,
        slots: SLOTS,
    }));
    await nodes.lifecycle.start();
    let newAttempts = 0;
    let attempts = 0;
    let lateAttempts = 0;
    let badAnswers = 0;
    let lastBadAt: number | undefined;
    let newShare = 0;
    let requests = 0;

    const workMilliseconds = scenario.workMilliseconds ?? MEAN_WORK_MILLISECONDS;

    const isBad = (
        route: SimulatedRoute,
        elapsed: number,
        usedUpstreams: number,
        requestsInFlight: number,
    ): boolean => {
        if (fault === undefined || random() >= fault.share) {
            return false;
        }
        switch (fault.kind) {
            case "one route":
                return route === routes[0];
            case "late":
                return elapsed >= (fault.startsAt ?? 0);
            case "half of the slots":
                return requestsInFlight + 1 >= SLOTS / 2;
            case "under load":
                return random() < (newShare * UPSTREAMS) / usedUpstreams;
            default:
                return true;
        }
    };

    const runRequest = (elapsed: number, arrivedAt: number): boolean => {
        now = arrivedAt;
        const route = pickRoute(routes, random());
        const coordinator = nodes.coordinators[Math.floor(random() * names.length)]!;
        const fails = random() < route.errorShare;
        requests += 1;
        const key = `r${requests}`;
        const failedVersions = new Set<string>();
        for (let attempt = 1; ; attempt++) {
            const request = { key, isSession: false, lastVersion: undefined };
            const preference = coordinator.preference("app", request, failedVersions);
            const isNew = preference?.matches("v2") ?? coordinator.rule("app").isAllowed("v2");
            const share = isNew ? (preference?.upstreamShare ?? 1) : 1;
            const used = preference?.testedUpstreams ?? Math.ceil(share * UPSTREAMS);
            const upstream = `${isNew ? "v2" : "v1"} ${Math.floor(randomPlace() * used)}`;
            const open = (ends.get(upstream) ?? []).filter(end => end > arrivedAt);
            coordinator.recordSend("app", isNew ? "v2" : "v1", undefined);
            const work = -Math.log(1 - random()) * workMilliseconds;
            const bad = isNew && isBad(route, elapsed, used, open.length);
            ends.set(upstream, [...open, arrivedAt + work]);
            const isSlow = bad && fault?.kind === "slow";
            const succeeded = !fails && (!bad || isSlow);
            if (isNew && lastBadAt !== undefined && elapsed > lastBadAt + ROLLBACK_MILLISECONDS) {
                lateAttempts += 1;
            }
            if (bad && (badAnswers += 1) === BAD_ANSWERS) {
                lastBadAt = elapsed;
            }
            if (elapsed < DURATION_MILLISECONDS) {
                attempts += 1;
                newAttempts += isNew ? 1 : 0;
            }
            // A retry is not independent of the attempt before it.
            if (attempt === 1) {
                const headMilliseconds = isSlow ? SLOWDOWN * work : work;
                coordinator.record(
                    "app",
                    isNew ? "v2" : "v1",
                    evidenceGroupOf(
                        route.name,
                        open.length,
                        SLOTS,
                        preference?.testedUpstreams !== undefined,
                    ),
                    succeeded ? "succeeded" : "failed",
                    { headMilliseconds, paceMilliseconds: undefined },
                    "process",
                );
            }
            failedVersions.add(isNew ? "v2" : "v1");
            if (succeeded || attempt >= route.attempts) {
                return succeeded;
            }
        }
    };

    for (let elapsed = 0; elapsed < END_MILLISECONDS; elapsed += STEP_MILLISECONDS) {
        const attemptsBefore = [attempts, newAttempts];
        const arrivals = countArrivals(random, (scenario.requestsPerSecond * STEP_MILLISECONDS) / 1000);
        const times = Array.from({ length: arrivals }, () => elapsed + randomPlace() * STEP_MILLISECONDS);
        for (const time of times.sort((first, second) => first - second)) {
            if (!runRequest(elapsed, time)) {
                runRequest(elapsed, time);
            }
        }
        const [all, added] = [attempts - attemptsBefore[0]!, newAttempts - attemptsBefore[1]!];
        newShare = all === 0 ? newShare : 0.8 * newShare + 0.2 * (added / all);
        await advanceTime(context.mock.timers, STEP_MILLISECONDS);
        if (nodes.report() === "rolled-back" && elapsed > DURATION_MILLISECONDS) {
            break;
        }
    }
    await nodes.lifecycle.stop();
    context.mock.timers.reset();
    return { report: nodes.report(), newAttempts, attempts, lateAttempts };
}
