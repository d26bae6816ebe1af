import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import type { Lifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import { createFakeNetwork } from "../../peers/__tests__/fakes.js";
import { advance, mockTime, restoreTime } from "../../peers/__tests__/time.js";
import { createFakeTableService, createServiceFaults } from "../../outside-services/__tests__/fakes.js";
import { createTicker } from "../../ticker/ticker.js";
import { MEMBER_RETENTION_MILLISECONDS } from "../constants.js";
import { createDetector, suspicionMilliseconds } from "../detector.js";
import { createMembership } from "../create-membership.js";
import type { Member, Membership, ObservedDigest } from "../membership.js";

const SEED = 7;

interface NodeFixture {
    readonly membership: Membership;
    readonly lifecycle: Lifecycle;
    readonly address: string;
}

let network: ReturnType<typeof createFakeNetwork>;
let faults: ReturnType<typeof createServiceFaults>;
let tableService: ReturnType<typeof createFakeTableService>;
let nodes: NodeFixture[];

async function startNode(id: string, seeds: readonly string[] = [], incarnation = 1): Promise<NodeFixture> {
    const lifecycle = createLifecycle();
    const address = `http://${id}`;
    const random = createSeededRandom(SEED + nodes.length);
    const ticker = createTicker({ now: Date.now, lifecycle, onError: (_, error) => assert.fail(`${error}`) });
    const membership = createMembership({
        ...{ id, incarnation, seeds, lifecycle, ticker, random, tableService, now: Date.now },
        address: () => address,
        dataCentre: "patio",
        region: "south",
        peers: network.join(address),
        logger: silentLogging("membership"),
    });
    const node = { membership, lifecycle, address };
    nodes.push(node);
    await lifecycle.start();
    return node;
}

const startNodes = (count: number): Promise<NodeFixture[]> =>
    Promise.all(Array.from({ length: count }, (_, index) => startNode(`n${index}`, ["http://n0"])));

const statesOf = (id: string): (string | undefined)[] =>
    nodes.map(({ membership }) => membership.members.get(id)?.state);

beforeEach(() => {
    mockTime();
    network = createFakeNetwork();
    faults = createServiceFaults();
    tableService = createFakeTableService(faults);
    nodes = [];
});

afterEach(async () => {
    await Promise.all(nodes.map(({ lifecycle }) => lifecycle.stop()));
    restoreTime();
});

// Nodes that start during an outage of the table service would stay isolated.
test("joins through the seeds while the table service is down", async () => {
    faults.down = true;
    await startNodes(12);
    await advance(8000);
    assert.deepEqual(
        nodes.map(({ membership }) => membership.active().length),
        nodes.map(() => 12),
    );
});

// A node without seeds would never find the other members.
test("joins through the node rows", async () => {
    await startNode("n0");
    await startNode("n1");
    await advance(3000);
    assert.deepEqual(statesOf("n0"), ["alive", "alive"]);
    assert.deepEqual(nodes[1]!.membership.roster(), ["n0", "n1"]);
});

// Nodes of a new deployment would find each other only after a minute.
test("finds all nodes within seconds when many start in sequence", async () => {
    for (let index = 0; index < 60; index += 1) {
        await startNode(`n${index}`, ["http://n0"]);
        await advance(50);
    }
    await advance(10_000);
    assert.deepEqual(
        nodes.filter(({ membership }) => membership.active().length < 60),
        [],
    );
});

// Work would still be sent to a crashed node.
test("declares an unresponsive member dead, and alive after its restart", async () => {
    await startNodes(6);
    await advance(3000);
    await nodes[5]!.lifecycle.stop();
    network.leave("http://n5");
    nodes.pop();
    await advance(6000 + suspicionMilliseconds(6));
    assert.deepEqual(new Set(statesOf("n5")), new Set(["dead"]));
    await startNode("n5", ["http://n0"], 2);
    await advance(6000);
    assert.deepEqual(new Set(statesOf("n5")), new Set(["alive"]));
});

// Members would be declared dead because of one broken link, message loss or a short pause.
test("does not declare members dead that one node cannot reach or that answer late", async () => {
    const random = createSeededRandom(SEED);
    network.isLost = (from, to) =>
        random() < 0.2 || (from === "http://n0" && to === "http://n1") || from === to;
    network.remainingPause = address =>
        address === "http://n2" ? Math.max(0, 500 - (Date.now() % 5000)) : 0;
    await startNodes(8);
    const states = new Set<string>();
    nodes.forEach(({ membership }) => membership.onChange(({ state }) => states.add(state)));
    await advance(40_000);
    assert.deepEqual([...states].sort(), ["alive", "suspect"]);
});

// Both sides of a partition would ignore each other permanently.
test("finds the members again after a partition", async () => {
    await startNodes(6);
    await advance(3000);
    const side = (address: string): boolean => address < "http://n3";
    network.isLost = (from, to) => side(from) !== side(to);
    await advance(15_000);
    assert.equal(nodes[0]!.membership.members.get("n5")?.state, "dead");
    network.isLost = () => false;
    await advance(30_000);
    assert.deepEqual(new Set(nodes.flatMap((_, index) => statesOf(`n${index}`))), new Set(["alive"]));
});

// A planned stop would be detected as a failure.
test("announces leaving and left", async () => {
    await startNodes(5);
    await advance(3000);
    nodes[4]!.membership.announceLeaving();
    await advance(4000);
    assert.deepEqual(new Set(statesOf("n4")), new Set(["leaving"]));
    assert.equal(nodes[0]!.membership.active().length, 4);
    const left = nodes[4]!.membership.announceLeft();
    await advance(100);
    await left;
    await advance(2000);
    assert.deepEqual(new Set(statesOf("n4")), new Set(["left"]));
    assert.equal(tableService.rows.has("node/n4"), false);
});

// A digest that was delayed in the network would be used as a recent one.
test("sends digests, and bounds the age of those in answers", async () => {
    const observed: ObservedDigest[] = [];
    const [first, second] = await startNodes(2);
    network.delay = () => 40;
    const receive = (digest: ObservedDigest): void => void observed.push(digest);
    first!.membership.attachDigest({ name: "time", read: () => undefined, receive });
    second!.membership.attachDigest({ name: "time", read: () => Date.now(), receive: () => undefined });
    await advance(6000);
    const answers = observed.filter(({ notBefore }) => notBefore !== undefined);
    assert.ok(answers.length >= 3 && observed.length > answers.length);
    assert.ok(answers.every(({ notBefore, value }) => notBefore! <= (value as number)));
});

function member(id: string): Member {
    const location = { address: `http://${id}`, dataCentre: "patio", region: "south" };
    return { id, incarnation: 1, state: "alive", ...location };
}

// Memory use would grow with every replaced node.
test("removes a dead member after the retention time", () => {
    const detector = createDetector({ self: member("a"), seeds: [], random: createSeededRandom(SEED) });
    detector.step([{ kind: "rows", updates: [{ ...member("b"), refutation: 0, state: "dead" }] }], 1);
    assert.ok(detector.table.members.has("b"));
    for (let now = 0; now < MEMBER_RETENTION_MILLISECONDS + 2000; now += 200) {
        detector.step([], now);
    }
    assert.equal(detector.table.members.has("b"), false);
});

// A node that resumes after a pause would declare other members dead.
test("does not suspect a member because of a pause of the local process", () => {
    const detector = createDetector({ self: member("a"), seeds: [], random: createSeededRandom(SEED) });
    detector.step([{ kind: "rows", updates: [{ ...member("b"), refutation: 0 }] }], 1);
    let probe: number | undefined;
    let now = 1;
    for (; probe === undefined; now += 50) {
        const pings = detector.step([], now).filter(action => action.kind === "ping");
        probe = pings[0]?.probe;
    }
    detector.step([{ kind: "probe-failed", probe }], now + 10_000);
    assert.equal(detector.table.members.get("b")?.state, "alive");
});
