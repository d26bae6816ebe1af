/** Guards against prompts that crash upstreams one after the other, and against blame for sound prompts. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createSeededRandom } from "../../common/random.js";
import { blameSuspects } from "../blame.js";
import { createCrashEvidence } from "../crash-evidence.js";
import type { WireEvidence } from "../crash-evidence.js";
import { createQuarantine, QUARANTINE_MILLISECONDS } from "../quarantine.js";
import type { Quarantine, QuarantineReport } from "../quarantine.js";
import { kindOfSuspect, requestSuspectOf, sharedPartsOf } from "../suspects.js";
import type { Suspect } from "../suspects.js";

const BAD = sharedPartsOf([{ id: "system" }, { id: "bad" }, { id: "own" }]);
const SOUND = sharedPartsOf([{ id: "system" }, { id: "document" }, { id: "own" }]);
const RARE = sharedPartsOf([{ id: "system" }, { id: "rare" }, { id: "own" }]);

const REPORT_INTERVAL_MILLISECONDS = 100;
const PEERS_PER_REPORT = 16;

interface Fleet {
    readonly nodes: readonly Quarantine[];
    readonly now: number;
    /** Lets time pass while the nodes exchange reports. */
    pass(milliseconds: number): void;
    /** Replaces a node by a new process. */
    restart(index: number): void;
    quarantinedAt(index: number): readonly string[];
    largestReport(): number;
}

/** Nodes that report to random peers every 100 ms, over a network that loses a share of the reports. */
function createFleet(count: number, seed = 1, lossShare = 0.05): Fleet {
    const random = createSeededRandom(seed);
    let now = 100_000;
    let largestReport = 0;
    const ids = Array.from({ length: count }, (_, index) => `n${index}`);
    const create = (id: string): Quarantine =>
        createQuarantine({
            node: id,
            nodes: () => ids,
            onQuarantined: () => undefined,
            onReleased: () => undefined,
            onNews: () => undefined,
        });
    const nodes = ids.map(create);

    const deliver = (from: number, report: QuarantineReport): void => {
        const text = JSON.stringify(report);
        largestReport = Math.max(largestReport, text.length);
        for (let sent = 0; sent < Math.min(PEERS_PER_REPORT, count - 1); sent += 1) {
            const to =
                count - 1 <= PEERS_PER_REPORT ? (from + 1 + sent) % count : Math.floor(random() * count);
            if (to !== from && random() >= lossShare) {
                nodes[to]!.merge(JSON.parse(text) as QuarantineReport, now);
            }
        }
    };

    return {
        nodes,
        get now() {
            return now;
        },
        pass: milliseconds => {
            for (let passed = 0; passed < milliseconds; passed += REPORT_INTERVAL_MILLISECONDS) {
                now += REPORT_INTERVAL_MILLISECONDS;
                nodes
                    .map(node => node.report(now))
                    .forEach((report, index) => report !== undefined && deliver(index, report));
            }
        },
        restart: index => {
            nodes[index] = create(ids[index]!);
        },
        quarantinedAt: index => [...nodes[index]!.entries().keys()],
        largestReport: () => largestReport,
    };
}

function assertQuarantined(fleet: Fleet, parts: readonly string[]): void {
    fleet.nodes.forEach((_, index) => assert.deepEqual(fleet.quarantinedAt(index), parts, `node ${index}`));
}

/** Each crash breaks a request with the bad part and sound ones, each seen by another node. */
function playCrashes(fleet: Fleet, count: number, pauseMilliseconds: number): void {
    for (let crash = 0; crash < count; crash += 1) {
        const { nodes, now } = fleet;
        nodes[(crash * 7) % nodes.length]!.recordBreak(`e${crash}`, BAD, now);
        nodes[(crash * 7 + 3) % nodes.length]!.recordBreak(`e${crash}`, SOUND, now + 2);
        fleet.pass(pauseMilliseconds);
    }
}

test("crashes seen once by each of several nodes quarantine the part they share at all nodes", () => {
    const fleet = createFleet(9);
    fleet.nodes.forEach(node => node.recordAnswer(SOUND, fleet.now));
    playCrashes(fleet, 3, 200);
    assertQuarantined(fleet, ["bad"]);
});

test("a request that waits for its answer is withdrawn when one of its parts comes into quarantine", () => {
    const fleet = createFleet(3);
    const withdrawn: string[] = [];
    fleet.nodes[2]!.watch(BAD, () => withdrawn.push("bad"));
    fleet.nodes[2]!.watch(SOUND, () => withdrawn.push("sound"));
    fleet.nodes[1]!.recordAnswer(SOUND, fleet.now);
    playCrashes(fleet, 3, 100);
    assert.deepEqual(withdrawn, ["bad"]);
});

test("a suspected prompt is not repeated before it is in quarantine", () => {
    const fleet = createFleet(2);
    fleet.nodes[0]!.recordAnswer(SOUND, fleet.now);
    playCrashes(fleet, 2, 100);
    assert.equal(fleet.nodes[1]!.isSuspect(BAD, fleet.now), true);
    assert.equal(fleet.nodes[1]!.isSuspect(SOUND, fleet.now), false);
    assert.equal(fleet.nodes[1]!.reject(BAD, fleet.now), undefined);
});

test("a part that any node has seen answered is not blamed by nodes that have not", () => {
    const fleet = createFleet(9);
    fleet.nodes[8]!.recordAnswer(SOUND, fleet.now - 20_000);
    for (let crash = 0; crash < 5; crash += 1) {
        fleet.nodes[crash]!.recordBreak(`e${crash}`, SOUND, fleet.now);
        fleet.pass(200);
    }
    assertQuarantined(fleet, []);
});

test("a sound request that was repeated into the crashes of a bad one is not blamed", () => {
    const fleet = createFleet(9);
    fleet.nodes[0]!.recordAnswer(SOUND, fleet.now);
    for (let crash = 0; crash < 5; crash += 1) {
        fleet.nodes[crash]!.recordBreak(`e${crash}`, BAD, fleet.now);
        fleet.nodes[8]!.recordBreak(`e${crash}`, RARE, fleet.now);
        fleet.pass(100);
        if (crash === 3) {
            // One crash more than the rare part has seen tells the two apart.
            fleet.nodes[5]!.recordBreak("other", BAD, fleet.now);
        }
    }
    fleet.pass(300);
    assert.deepEqual(fleet.quarantinedAt(0), ["bad"]);
});

test("upstreams that end at the same moment leave no part blamed", () => {
    const fleet = createFleet(9);
    for (let crash = 0; crash < 8; crash += 1) {
        fleet.nodes[crash]!.recordBreak(`e${crash}`, RARE, fleet.now + crash);
    }
    fleet.pass(1000);
    assertQuarantined(fleet, []);
});

test("connections that are reset under living upstreams leave no part blamed", () => {
    const fleet = createFleet(9);
    for (let reset = 0; reset < 6; reset += 1) {
        const at = fleet.now;
        fleet.nodes[reset]!.recordBreak(`e${reset}`, RARE, at);
        fleet.pass(100);
        fleet.nodes[8]!.recordResponse(`e${reset}`, at + 80, fleet.now);
        fleet.pass(100);
    }
    fleet.pass(500);
    assertQuarantined(fleet, []);
});

function playRareCrashes(fleet: Fleet, suspects: (crash: number) => readonly Suspect[], last: number): void {
    for (let crash = 0; crash < 3; crash += 1) {
        fleet.nodes[crash]!.recordBreak(`e${crash}`, suspects(crash), fleet.now);
        fleet.pass(crash < 2 ? 100 : last);
    }
    assertQuarantined(fleet, ["rare"]);
}

const LOSSY_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

test("an answer on another node releases a part that was blamed by chance", () => {
    const fleet = createFleet(9, 1, 0);
    playRareCrashes(fleet, () => RARE, 100);
    fleet.nodes[8]!.recordAnswer(RARE, fleet.now);
    fleet.pass(100);
    assertQuarantined(fleet, []);
});

test("an answer on another node releases a part in spite of lost reports", () => {
    for (const seed of LOSSY_SEEDS) {
        const fleet = createFleet(9, seed);
        playRareCrashes(fleet, () => RARE, 300);
        fleet.nodes[8]!.recordAnswer(RARE, fleet.now);
        fleet.pass(300);
        assertQuarantined(fleet, []);
    }
});

test("a restarted node learns the quarantines of the others from their reports", () => {
    const fleet = createFleet(9);
    fleet.nodes.forEach(node => node.recordAnswer(SOUND, fleet.now));
    playCrashes(fleet, 3, 100);
    fleet.pass(3000);
    fleet.restart(4);
    assert.equal(fleet.nodes[4]!.reject(BAD, fleet.now), undefined);
    fleet.pass(1000);
    assert.equal(fleet.nodes[4]!.reject(BAD, fleet.now)?.suspect, "bad");
});

test("one node at a time tries a part again, with one request", () => {
    const fleet = createFleet(9);
    fleet.nodes.forEach(node => node.recordAnswer(SOUND, fleet.now));
    playCrashes(fleet, 3, 100);
    fleet.pass(500);
    const admitted = (now: number): readonly number[] =>
        fleet.nodes.flatMap((node, index) => (node.reject(BAD, now) === undefined ? [index] : []));
    assert.deepEqual(admitted(fleet.now + QUARANTINE_MILLISECONDS - 2000), []);
    const [owner, ...others] = admitted(fleet.now + QUARANTINE_MILLISECONDS);
    assert.deepEqual(others, []);
    assert.deepEqual(admitted(fleet.now + QUARANTINE_MILLISECONDS + 1000), []);
    const crashedAt = fleet.now + QUARANTINE_MILLISECONDS + 2000;
    fleet.nodes[owner!]!.recordBreak("later", BAD, crashedAt);
    assert.deepEqual(admitted(crashedAt + QUARANTINE_MILLISECONDS - 1000), []);
});

test("a sound trial releases the part", () => {
    const fleet = createFleet(1);
    fleet.nodes[0]!.recordAnswer(SOUND, fleet.now);
    playCrashes(fleet, 3, 100);
    const [node] = fleet.nodes;
    const later = fleet.now + QUARANTINE_MILLISECONDS;
    assert.equal(node!.reject(BAD, later), undefined);
    node!.recordAnswer(BAD, later + 500);
    assert.equal(node!.reject(BAD, later + 600), undefined);
});

test("parts without crashes are forgotten some time after their last one", () => {
    const fleet = createFleet(1);
    playCrashes(fleet, 3, 100);
    fleet.nodes[0]!.expire(fleet.now + 6 * QUARANTINE_MILLISECONDS);
    assert.deepEqual(fleet.quarantinedAt(0), []);
});

test("prompts of hostile callers neither fill the memory nor the reports", () => {
    const fleet = createFleet(2);
    for (let crash = 0; crash < 3000; crash += 1) {
        const parts = Array.from({ length: 40 }, (_, part) => ({ id: `${"x".repeat(900)}${crash}-${part}` }));
        fleet.nodes[0]!.recordBreak(`e${crash}`, sharedPartsOf(parts), fleet.now);
        fleet.nodes[1]!.recordAnswer(sharedPartsOf(parts), fleet.now);
        if (crash % 100 === 0) {
            fleet.pass(100);
        }
    }
    assert.ok(fleet.nodes[0]!.entries().size <= 256);
    assert.ok(fleet.largestReport() < 8192, `${fleet.largestReport()} bytes`);
});

test("only new evidence causes an early report", () => {
    let news = 0;
    const node = createQuarantine({
        node: "n",
        nodes: () => ["n"],
        onQuarantined: () => undefined,
        onReleased: () => undefined,
        onNews: () => (news += 1),
    });
    for (let request = 0; request < 50; request += 1) {
        node.recordBreak("e1", BAD, 1000);
    }
    assert.equal(news, 1);
    node.recordAnswer(SOUND, 1000);
    node.recordBreak("e2", SOUND, 1100);
    assert.equal(news, 1);
});

test("the last part of a prompt is never blamed", () => {
    assert.deepEqual(
        sharedPartsOf([{ id: "a" }, { id: "b" }]).map(({ id }) => id),
        ["a"],
    );
    assert.deepEqual(sharedPartsOf([{ id: "own" }]), []);
    assert.deepEqual(sharedPartsOf([]), []);
});

test("of parts with the same crashes, the one that fewer prompts share is blamed", () => {
    const suspects = new Map([
        ["system", 0],
        ["bad", 1],
    ]);
    const crashes = [0, 100, 200].map(at => ({ at, suspects }));
    assert.deepEqual([...blameSuspects(crashes).keys()], ["bad"]);
});

test("merged evidence does not depend on the order in which reports arrive", () => {
    const parts = fc.constantFrom("a", "b", "c", "d");
    const crash = fc.tuple(
        fc.constantFrom("e1", "e2", "e3", "e4", "e5"),
        fc.integer({ min: 0, max: 5000 }),
        fc.constantFrom(0 as const, 1 as const),
        fc.array(fc.tuple(parts, fc.constant(0)), { minLength: 1, maxLength: 3 }),
    );
    const answer = fc.tuple(parts, fc.integer({ min: 0, max: 90_000 }));
    const report: fc.Arbitrary<WireEvidence> = fc.record({
        crashes: fc.array(crash, { maxLength: 4 }),
        answers: fc.array(answer, { maxLength: 2 }),
    });
    const blamedAfter = (reports: readonly WireEvidence[]): readonly unknown[] => {
        const evidence = createCrashEvidence();
        reports.forEach(one => evidence.merge(one, 200_000));
        return [...evidence.blamed(200_000)].sort();
    };
    fc.assert(
        fc.property(fc.array(report, { maxLength: 6 }), reports => {
            assert.deepEqual(blamedAfter(reports), blamedAfter([...reports].reverse()));
        }),
        { numRuns: 300, seed: 24 },
    );
});

const REPEATED = requestSuspectOf("repeated");

test("copies of a request that crash upstreams at different nodes quarantine the request, not its prompt", () => {
    const fleet = createFleet(9);
    for (let crash = 0; crash < 3; crash += 1) {
        fleet.nodes[crash]!.recordBreak(`e${crash}`, [REPEATED, ...BAD], fleet.now);
        fleet.nodes[crash + 3]!.recordBreak(`e${crash}`, [requestSuspectOf(`other${crash}`)], fleet.now);
        fleet.pass(200);
    }
    assertQuarantined(fleet, [REPEATED.id]);
});

test("a prompt part that crashes upstreams under unlike requests is blamed, not one of the requests", () => {
    playRareCrashes(createFleet(9, 1, 0), crash => [requestSuspectOf(`own${crash}`), ...RARE], 100);
    for (const seed of LOSSY_SEEDS) {
        playRareCrashes(createFleet(9, seed), crash => [requestSuspectOf(`own${crash}`), ...RARE], 300);
    }
});

test("a request that many callers send alike is not blamed for crashes around it", () => {
    const fleet = createFleet(9);
    fleet.nodes[8]!.recordAnswer([REPEATED], fleet.now);
    for (let crash = 0; crash < 5; crash += 1) {
        fleet.nodes[crash]!.recordBreak(`e${crash}`, [REPEATED], fleet.now);
        fleet.pass(200);
    }
    assertQuarantined(fleet, []);
});

test("a node that loses all upstreams at once blames no request", () => {
    const fleet = createFleet(9);
    const requests = Array.from({ length: 12 }, (_, index) => requestSuspectOf(`r${index}`));
    for (let upstream = 0; upstream < 12; upstream += 1) {
        fleet.nodes[0]!.recordBreak(`e${upstream}`, [requests[upstream]!], fleet.now + upstream);
        fleet.nodes[0]!.recordBreak(`e${upstream}`, [REPEATED], fleet.now + upstream);
    }
    fleet.pass(1000);
    assertQuarantined(fleet, []);
});

test("the prompts of a fleet under load keep their innocence however many requests are answered", () => {
    const fleet = createFleet(2);
    fleet.nodes[0]!.recordAnswer(SOUND, fleet.now);
    for (let request = 0; request < 20_000; request += 1) {
        fleet.nodes[0]!.recordAnswer([requestSuspectOf(`r${request}`)], fleet.now);
    }
    for (let crash = 0; crash < 4; crash += 1) {
        fleet.nodes[0]!.recordBreak(`e${crash}`, SOUND, fleet.now);
        fleet.pass(100);
    }
    assertQuarantined(fleet, []);
});

test("a caller cannot name a request in the parts of a prompt", () => {
    const [part] = sharedPartsOf([{ id: REPEATED.id }, { id: "own" }]);
    assert.notEqual(part!.id, REPEATED.id);
    assert.equal(kindOfSuspect(part!.id), "prompt part");
});
