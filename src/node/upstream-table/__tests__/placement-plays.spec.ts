/**
 * Guards, over whole loads, against requests that leave without need, own upstreams that are overloaded while
 * others idle, and slow or blocked engines that get as much as the others. Each play compares with the placement by
 * load alone, which came before.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { DATA_CENTRES, play, priceOf, shareOf, TARGET_MILLISECONDS } from "./placement-play.js";
import type { DataCentre, PlayedRequest, PlayOptions } from "./placement-play.js";
import { playPlain } from "./plain-play.js";

const BY_LOAD_ALONE = { prefersOwn: false, learnsSpeeds: false } as const;

/** Time until prefixes are cached and speeds are learnt, seconds. */
const SETTLED_SECONDS = 5;

function between(
    requests: readonly PlayedRequest[],
    from: number,
    to = Infinity,
    dataCentre?: DataCentre,
): readonly PlayedRequest[] {
    return requests.filter(
        request =>
            request.at >= from * 1000 &&
            request.at < to * 1000 &&
            (dataCentre === undefined || request.dataCentre === dataCentre),
    );
}

function percentile(requests: readonly PlayedRequest[], share: number): number {
    const times = requests
        .map(({ firstEventMilliseconds }) => firstEventMilliseconds)
        .sort((first, second) => first - second);
    return times[Math.floor(share * times.length)] ?? 0;
}

/** The same load placed as the options say, and by load alone; without the first seconds and long prompts. */
function playBoth(options: Omit<PlayOptions, "seed" | "seconds"> & Partial<PlayOptions>) {
    const common = { seed: 5, seconds: 30, ...options };
    const settled = (requests: readonly PlayedRequest[]) =>
        between(requests, SETTLED_SECONDS).filter(({ isLong }) => !isLong);
    return { placed: settled(play(common)), byLoad: settled(play({ ...common, ...BY_LOAD_ALONE })) };
}

const isLate = ({ isLate: late }: PlayedRequest): boolean => late;
const hasLeft = ({ left }: PlayedRequest): boolean => left;

test("requests stay and are no slower while their data centre has room", () => {
    const { placed, byLoad } = playBoth({ rate: () => 80 });
    assert.ok(shareOf(byLoad, hasLeft) > 0.6);
    assert.ok(shareOf(placed, hasLeft) < 0.01, `${shareOf(placed, hasLeft)} left`);
    assert.ok(percentile(placed, 0.99) < percentile(byLoad, 0.99));
    assert.ok(priceOf(placed) < 0.05 * priceOf(byLoad));
});

test("what exceeds the own data centre leaves, steadily", () => {
    // A data centre takes 139 requests per second.
    const rate = (dataCentre: DataCentre): number => (dataCentre === "patio" ? 220 : 40);
    for (const reportMilliseconds of [100, 500]) {
        const { placed, byLoad } = playBoth({ rate, reportMilliseconds });
        const left = shareOf(between(placed, 0, Infinity, "patio"), hasLeft);
        assert.ok(left > 0.3 && left < 0.6, `${left} left, reports each ${reportMilliseconds} ms`);
        // A short queue is accepted for the bytes that it saves.
        assert.equal(shareOf(placed, isLate), 0);
        assert.ok(percentile(placed, 0.99) < TARGET_MILLISECONDS / 4);
        assert.ok(priceOf(placed) < 0.6 * priceOf(byLoad));
        const perSecond = Array.from({ length: 20 }, (_, second) =>
            shareOf(between(placed, 10 + second, 11 + second, "patio"), hasLeft),
        );
        const range = Math.max(...perSecond) - Math.min(...perSecond);
        assert.ok(range < 0.35, `the share that leaves varies by ${range} between seconds`);
    }
});

test("callers that move to another data centre are served there or nearby in time", () => {
    const rate = (dataCentre: DataCentre, second: number): number =>
        second < 15 ? 60 : dataCentre === "patio" ? 0 : dataCentre === "lavado" ? 160 : 20;
    const { placed, byLoad } = playBoth({ rate });
    assert.ok(shareOf(between(placed, 0, 15), hasLeft) < 0.01);
    const left = shareOf(between(placed, 18, Infinity, "lavado"), hasLeft);
    assert.ok(left > 0.05 && left < 0.5, `${left} left`);
    assert.ok(shareOf(placed, isLate) <= shareOf(byLoad, isLate));
});

test("requests of a lost or evacuated data centre leave at once and come back after it", () => {
    const isUsable = (dataCentre: DataCentre, second: number): boolean =>
        dataCentre !== "patio" || second < 12 || second >= 20;
    const { placed } = playBoth({ rate: () => 60, isUsable });
    assert.equal(shareOf(between(placed, 12, 20, "patio"), hasLeft), 1);
    assert.ok(shareOf(between(placed, 20.5, Infinity, "patio"), hasLeft) < 0.02);
    assert.ok(shareOf(placed, isLate) < 0.001);
    const others = new Set(between(placed, 12, 20, "patio").map(({ engine }) => engine));
    assert.ok(others.size >= 5, "the requests are spread over the other data centres");
});

test("an engine gets requests in proportion to its speed", () => {
    const speedOf = (engine: string): number => [0.7, 1, 1.7][Number(engine.at(-1))]!;
    const learnt: number[] = [];
    const { placed, byLoad } = playBoth({
        rate: () => 140,
        speedOf,
        onEnd: speed => {
            if (speed("patio0") !== undefined) {
                learnt.push(...["patio0", "patio2"].map(id => speed(id)!.promptTokensPerMillisecond!));
            }
        },
    });
    const ratio = learnt[1]! / learnt[0]!;
    assert.ok(ratio > 1.7 && ratio < 3.4, `learnt 1.7 / 0.7 as ${ratio}`);
    const share = (index: string) => shareOf(placed, ({ engine }) => engine.endsWith(index));
    assert.ok(share("2") > 1.5 * share("0"), `shares ${share("0")}, ${share("1")}, ${share("2")}`);
    assert.ok(percentile(placed, 0.99) < 0.75 * percentile(byLoad, 0.99));
});

// Few requests are late, so that several seeds are needed.
test("short requests do not wait behind long prompts", () => {
    const plays = [5, 6, 7].map(seed => playBoth({ rate: () => 60, longPromptEvery: 60, seed }));
    const placed = plays.flatMap(both => both.placed);
    const byLoad = plays.flatMap(both => both.byLoad);
    assert.ok(shareOf(placed, isLate) < 0.75 * shareOf(byLoad, isLate));
    assert.ok(percentile(placed, 0.95) < 0.75 * percentile(byLoad, 0.95));
});

// Nodes that follow old loads chose the same engine in turns.
test("many nodes with old loads do not queue at one engine while others idle", () => {
    const common = { nodesPerDataCentre: 18, reportMilliseconds: 500 };
    for (const options of [
        { ...common, rate: () => 110 },
        { ...common, rate: () => 110, hotShare: 0.6 },
    ]) {
        const { placed, byLoad } = playBoth({ ...options, seconds: 15 });
        const [now, before] = [percentile(placed, 0.99), percentile(byLoad, 0.99)];
        assert.ok(now < 0.6 * before, `99th percentile ${now} ms, by load alone ${before} ms`);
        assert.ok(shareOf(placed, hasLeft) < 0.05);
    }
});

test("a hot prefix does not make one engine the bottleneck", () => {
    const { placed } = playBoth({ rate: () => 110, hotShare: 0.6 });
    for (const dataCentre of DATA_CENTRES) {
        const requests = between(placed, 0, Infinity, dataCentre);
        const shares = [0, 1, 2].map(index =>
            shareOf(requests, ({ engine }) => engine.endsWith(String(index))),
        );
        assert.ok(Math.max(...shares) < 0.5, `shares ${shares.join(", ")}`);
    }
    assert.equal(shareOf(placed, isLate), 0);
});

// Loads that are older than the requests that they count made all nodes choose the same upstream in turns.
test("requests of a plain service stay, and what exceeds the own upstream leaves in time", () => {
    const common = { seed: 4, nodesPerDataCentre: 18, reportMilliseconds: 500 };
    const even = { ...common, rate: () => 70 };
    const placed = playPlain(even);
    assert.ok(placed.late < 0.01 && placed.left < 0.05, JSON.stringify(placed));
    assert.ok(playPlain({ ...even, byLoadAlone: true }).late > 0.1);
    const uneven = playPlain({ ...common, rate: dataCentre => (dataCentre === "a" ? 150 : 50) });
    assert.ok(uneven.late < 0.03 && uneven.left > 0.15 && uneven.left < 0.35, JSON.stringify(uneven));
});

test("requests of a plain service leave a slow upstream and follow callers that move", () => {
    const common = { seed: 4, nodesPerDataCentre: 5, reportMilliseconds: 100 };
    const slow = { ...common, rate: () => 50, speedOf: (id: string) => (id === "a" ? 0.4 : 1) };
    const placed = playPlain(slow);
    assert.ok(placed.late < 0.02, JSON.stringify(placed));
    assert.ok(placed.late < playPlain({ ...slow, byLoadAlone: true }).late / 2);
    const moved = playPlain({
        ...common,
        rate: (dataCentre, second) => (dataCentre === "a" && second >= 8 ? 150 : 40),
    });
    assert.ok(moved.late < 0.04, JSON.stringify(moved));
});
