/** Guards against news of crashes that fill the links of the nodes, and against news that do not arrive. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { createQuarantine } from "../../quarantine/quarantine.js";
import type { Quarantine } from "../../quarantine/quarantine.js";
import { requestSuspectOf } from "../../quarantine/suspects.js";
import type { Suspect } from "../../quarantine/suspects.js";
import { AGGREGATORS, planAggregation } from "../aggregation-plan.js";
import { createFleet } from "./load-report-fleet.js";
import type { Fleet } from "./load-report-fleet.js";

/** What a node may send for control, bytes a second. */
const CONTROL_BYTES_PER_SECOND = 5000;

interface QuarantineFleet {
    readonly fleet: Fleet;
    readonly quarantines: readonly Quarantine[];
}

async function createQuarantineFleet(
    context: TestContext,
    size: number,
    dataCentres: number,
): Promise<QuarantineFleet> {
    const quarantines: Quarantine[] = [];
    const fleet = await createFleet(context, size, dataCentres, {
        quarantineOf: (node, reports) => {
            const quarantine = createQuarantine({
                node,
                nodes: () => fleet.nodes.map(({ entry }) => entry.id),
                onQuarantined: () => undefined,
                onReleased: () => undefined,
                onNews: () => reports().sendSoon(),
            });
            quarantines.push(quarantine);
            return quarantine;
        },
    });
    return { fleet, quarantines };
}

/** Upstreams crash in turn, and each breaks requests of random nodes with a prompt part that others share. */
async function flapUpstreams(
    { fleet, quarantines }: QuarantineFleet,
    { seconds, crashesPerSecond, requestsPerCrash }: Record<string, number>,
    beforeCrash: (time: number) => void = () => undefined,
): Promise<void> {
    const random = createSeededRandom(3);
    const index = (count: number): number => Math.floor(random() * count);
    for (let crash = 0; crash < seconds! * crashesPerSecond!; crash += 1) {
        beforeCrash((crash / crashesPerSecond!) * 1000);
        for (let request = 0; request < requestsPerCrash!; request += 1) {
            const suspects: readonly Suspect[] = [
                { id: `part-${index(450)}`, position: 1 },
                requestSuspectOf(`fingerprint-${crash}-${request}`),
            ];
            quarantines[index(quarantines.length)]!.recordBreak(`process-${crash}`, suspects, Date.now());
        }
        await fleet.advance(Math.round(1000 / crashesPerSecond!));
    }
}

function newsBytes({ nodes }: Fleet): readonly number[] {
    return nodes.map(({ sent }) => (sent.get("news") ?? 0) + (sent.get("report news") ?? 0));
}

// The 17 nodes report to each other directly, the others through aggregating nodes. Each has as many broken requests.
for (const { size, dataCentres, crashesPerSecond } of [
    { size: 17, dataCentres: 4, crashesPerSecond: 2 },
    { size: 60, dataCentres: 6, crashesPerSecond: 6 },
    { size: 195, dataCentres: 6, crashesPerSecond: 20 },
]) {
    test(`news of crashes stay within the bytes for control at ${size} nodes`, async context => {
        const play = await createQuarantineFleet(context, size, dataCentres);
        const seconds = 4;
        await flapUpstreams(play, { seconds, crashesPerSecond, requestsPerCrash: 8 });
        const sum = newsBytes(play.fleet).reduce((total, bytes) => total + bytes, 0);
        const rate = sum / size / seconds;
        context.diagnostic(`${Math.round(rate)} bytes a second and node`);
        assert.ok(rate <= CONTROL_BYTES_PER_SECOND, `${Math.round(rate)} bytes a second and node`);
    });
}

test("news of crashes end with the crashes", async context => {
    const play = await createQuarantineFleet(context, 60, 6);
    await flapUpstreams(play, { seconds: 2, crashesPerSecond: 6, requestsPerCrash: 8 });
    play.quarantines.forEach(quarantine =>
        quarantine.recordAnswer(
            Array.from({ length: 450 }, (_, index) => ({ id: `part-${index}`, position: 1 })),
            Date.now(),
        ),
    );
    await play.fleet.advance(5000);
    const before = newsBytes(play.fleet);
    await play.fleet.advance(2000);
    const difference = newsBytes(play.fleet).map((bytes, index) => bytes - before[index]!);
    assert.deepEqual([...new Set(difference)], [0]);
});

for (const { size, dataCentres } of [
    { size: 17, dataCentres: 4 },
    { size: 60, dataCentres: 6 },
    { size: 195, dataCentres: 6 },
]) {
    test(`${size} nodes put no part into quarantine that some of them know to be answered`, async context => {
        const play = await createQuarantineFleet(context, size, dataCentres);
        const random = createSeededRandom(size);
        for (let part = 0; part < 450; part += 1) {
            const aware = play.quarantines.filter(() => random() < 0.1);
            [...aware, play.quarantines[part % size]!].forEach(quarantine =>
                quarantine.recordAnswer([{ id: `part-${part}`, position: 1 }], Date.now()),
            );
        }
        const quarantined = new Set<string>();
        const collect = (): void =>
            play.quarantines.forEach(quarantine =>
                [...quarantine.entries().keys()].forEach(suspect => quarantined.add(suspect)),
            );
        await flapUpstreams(
            play,
            { seconds: 4, crashesPerSecond: Math.round(size / 10), requestsPerCrash: 8 },
            collect,
        );
        await play.fleet.advance(500);
        collect();
        assert.deepEqual([...quarantined], []);
    });
}

const DEADLY = requestSuspectOf("deadly");

/** Lets a request crash upstreams, each time seen by one of these nodes. */
async function crashUpstreams(
    { fleet, quarantines }: QuarantineFleet,
    witnesses: readonly number[],
): Promise<void> {
    for (const witness of witnesses) {
        quarantines[witness]!.recordBreak(`deadly-process-${witness}`, [DEADLY], Date.now());
        await fleet.advance(150);
    }
}

const unaware = ({ quarantines }: QuarantineFleet): readonly number[] =>
    quarantines.flatMap((quarantine, index) => (quarantine.entries().has(DEADLY.id) ? [] : index));

test("a request that crashes upstreams among others is in quarantine at all nodes within 1 s", async context => {
    const play = await createQuarantineFleet(context, 60, 6);
    await flapUpstreams(play, { seconds: 2, crashesPerSecond: 6, requestsPerCrash: 8 }, time => {
        const crash = [300, 500, 700].findIndex(at => Math.abs(at - time) < 84);
        if (crash >= 0) {
            play.quarantines[7 * (crash + 1)]!.recordBreak(`deadly-process-${crash}`, [DEADLY], Date.now());
        }
    });
    assert.deepEqual(unaware(play), []);
});

for (const { size, dataCentres, lossShare } of [
    { size: 60, dataCentres: 6, lossShare: 0 },
    { size: 60, dataCentres: 6, lossShare: 0.05 },
    { size: 660, dataCentres: 12, lossShare: 0.05 },
]) {
    test(`${size} nodes that lose a share of ${lossShare} of datagrams share a quarantine within a second`, async context => {
        const play = await createQuarantineFleet(context, size, dataCentres);
        const random = createSeededRandom(size);
        play.fleet.loses = () => random() < lossShare;
        await crashUpstreams(play, [0, 7, 14, 21, 28]);
        await play.fleet.advance(500);
        assert.deepEqual(unaware(play), []);
        assert.ok(play.fleet.nodes.every(({ largestBytes }) => largestBytes < 8192));
    });
}

test("nodes whose aggregating nodes are dead share a quarantine within a second", async context => {
    const play = await createQuarantineFleet(context, 60, 6);
    const { nodes } = play.fleet;
    const ofDataCentre = nodes.filter(({ entry }) => entry.dataCentre === "dc-0");
    const entries = nodes.map(({ entry }) => entry);
    const dead = ofDataCentre.filter(({ entry }) => planAggregation(entry, entries).rank < AGGREGATORS);
    dead.forEach(node => {
        node.isCutOff = true;
    });
    await play.fleet.advance(3000);
    const live = ofDataCentre.filter(node => !dead.includes(node)).map(node => nodes.indexOf(node));
    await crashUpstreams(play, live.slice(0, 3));
    await play.fleet.advance(700);
    assert.deepEqual(
        unaware(play),
        dead.map(node => nodes.indexOf(node)),
    );
});

test("a request that crashes upstreams before and after an aggregating node dies is in quarantine", async context => {
    const play = await createQuarantineFleet(context, 60, 6);
    const { nodes } = play.fleet;
    const entries = nodes.map(({ entry }) => entry);
    const first = nodes.find(
        ({ entry }) => entry.dataCentre === "dc-0" && planAggregation(entry, entries).rank === 0,
    )!;
    await crashUpstreams(play, [8, 9]);
    first.isCutOff = true;
    await play.fleet.advance(1500);
    await crashUpstreams(play, [10]);
    await play.fleet.advance(700);
    assert.deepEqual(unaware(play), [nodes.indexOf(first)]);
});
