/** Service while a data centre is drained by ticket and returns cold, and while another is lost without notice. */
import { setTimeout as delay } from "node:timers/promises";
import type { Deployment } from "../../playground/deployment.js";
import {
    applyAndWarmUp,
    DEFAULT_ADMISSION,
    WORKSPACE,
    benchEngineOptions,
    chatRequest,
    countViolations,
    createBenchTicket,
    dataCentreChange,
    startBenchDeployment,
    createBenchUpstreams,
} from "../driver.js";
import { poissonTimes, runLoad, summariseLoad } from "../load.js";
import type { Arrival, LoadResult } from "../load.js";
import type { Figures, Scenario, ScenarioContext } from "../scenario.js";

const DATA_CENTRES = ["lavado", "pintura", "patio", "oficina"];
const DRAINED = 0;
const LOST = 1;
const ENGINES_PER_DATA_CENTRE = 2;
const ENGINES = DATA_CENTRES.length * ENGINES_PER_DATA_CENTRE;
const CONCURRENCY = 16;
const COLD_CONCURRENCY = 4;
const COLD_MILLISECONDS = 3000;
const TOKENS = 40;
const TOKENS_PER_SECOND = 100;
const FIRST_TOKEN_MILLISECONDS = 50;
const LOAD_SHARE = 0.7;
const REQUESTS_PER_SECOND =
    (LOAD_SHARE * ENGINES * CONCURRENCY * 1000) /
    (FIRST_TOKEN_MILLISECONDS + (TOKENS * 1000) / TOKENS_PER_SECOND);

/** Times of the run, milliseconds. */
const QUIET_MILLISECONDS = 4000;
const DRAIN_AT = 3000;
const RETURN_AT = 12_000;
const LOSE_AT = 20_000;
const END_AT = 27_000;
const EFFECT_MILLISECONDS = 5000;

/** Time in which the platform's balancer notices that a node is gone. */
const BALANCER_MILLISECONDS = 1000;

/** Engines of a data centre; the deployment spreads them over the data centres in turn. */
function enginesOf(deployment: Deployment, dataCentre: number) {
    return deployment.engines.filter((_engine, index) => index % DATA_CENTRES.length === dataCentre);
}

function requestsAt(deployment: Deployment, dataCentre: number): number {
    return enginesOf(deployment, dataCentre).reduce((sum, engine) => sum + engine.counters().requests, 0);
}

const WHOLE_TEXT = Array.from({ length: TOKENS }, (_unused, index) => `t${index} `).join("");

function checkText(text: string): string | undefined {
    return text === WHOLE_TEXT ? undefined : `the text is "${text}"`;
}

async function setDataCentre(deployment: Deployment, number: number, state: "active" | "drained") {
    await deployment.apply({ number, changes: [dataCentreChange(DATA_CENTRES[DRAINED]!, state)] });
}

interface Events {
    lateAtDrained: number;
    acceptMilliseconds: number;
    /** Requests of the returned data centre over the mean of the others, per second from its return. */
    readonly returned: [number, number][];
}

/** Drains, returns and loses data centres at their times. */
async function playEvents(
    deployment: Deployment,
    addresses: string[],
    context: ScenarioContext,
    events: Events,
): Promise<void> {
    const start = performance.now();
    const until = (milliseconds: number): Promise<void> =>
        delay(Math.max(0, start + milliseconds - performance.now()));

    await until(DRAIN_AT);
    context.progress("draining a data centre");
    const drainStart = performance.now();
    await setDataCentre(deployment, 2, "drained");
    events.acceptMilliseconds = performance.now() - drainStart;
    await delay(EFFECT_MILLISECONDS);
    const before = requestsAt(deployment, DRAINED);
    await until(RETURN_AT);
    events.lateAtDrained = requestsAt(deployment, DRAINED) - before;

    context.progress("the drained data centre returns cold");
    enginesOf(deployment, DRAINED).forEach(engine => engine.restart());
    await setDataCentre(deployment, 3, "active");
    let last = DATA_CENTRES.map((_name, index) => requestsAt(deployment, index));
    for (let second = 1; RETURN_AT + second * 1000 <= LOSE_AT; second += 1) {
        await until(RETURN_AT + second * 1000);
        const now = DATA_CENTRES.map((_name, index) => requestsAt(deployment, index));
        const done = now.map((count, index) => count - last[index]!);
        const others = done.filter((_count, index) => index !== DRAINED);
        const mean = others.reduce((sum, count) => sum + count, 0) / others.length;
        events.returned.push([second, done[DRAINED]! / Math.max(1, mean)]);
        last = now;
    }

    context.progress("losing a data centre");
    const node = deployment.nodes[LOST]!;
    node.process.kill("SIGKILL");
    await Promise.all(enginesOf(deployment, LOST).map(engine => engine.close()));
    await delay(BALANCER_MILLISECONDS);
    addresses.splice(addresses.indexOf(node.callers), 1);
}

function drawChats(milliseconds: number, context: ScenarioContext): readonly Arrival[] {
    return poissonTimes(REQUESTS_PER_SECOND, milliseconds, context.random).map((atMilliseconds, index) => {
        const request = chatRequest("chat", WORKSPACE, `question ${index}`, TOKENS);
        const headers = { ...request.headers, "request-timeout-ms": "5000" };
        return { atMilliseconds, request: { ...request, headers, check: checkText } };
    });
}

function latencies(load: LoadResult): Figures {
    const { firstTokenP50Milliseconds, firstTokenP99Milliseconds, totalP99Milliseconds } =
        summariseLoad(load);
    return {
        firstTokenP50Milliseconds: firstTokenP50Milliseconds!,
        firstTokenP99Milliseconds: firstTokenP99Milliseconds!,
        totalP99Milliseconds: totalP99Milliseconds!,
    };
}

async function run(context: ScenarioContext) {
    /** Prompts whose generation began at an engine. */
    const ran = new Set<string>();
    const engine = {
        ...benchEngineOptions(TOKENS_PER_SECOND, FIRST_TOKEN_MILLISECONDS),
        coldConcurrency: COLD_CONCURRENCY,
        coldMilliseconds: COLD_MILLISECONDS,
        tokenText: (prompt: string, index: number) => {
            ran.add(prompt);
            return `t${index} `;
        },
    };
    const deployment = await startBenchDeployment({
        settings: { admission: DEFAULT_ADMISSION },
        nodes: DATA_CENTRES.length,
        dataCentres: DATA_CENTRES,
        engines: Array.from({ length: ENGINES }, () => engine),
    });
    try {
        await delay(COLD_MILLISECONDS);
        await applyAndWarmUp(
            deployment,
            createBenchTicket(1, {
                dataCentres: DATA_CENTRES,
                workspaces: [WORKSPACE],
                engines: createBenchUpstreams(deployment.engines, "engine", DATA_CENTRES, CONCURRENCY).map(
                    upstream => ({ ...upstream, coldConcurrency: COLD_CONCURRENCY }),
                ),
            }),
            WORKSPACE,
        );
        const arrivals = drawChats(END_AT, context);
        const addresses = deployment.nodes.map(node => node.callers);
        context.progress("undisturbed");
        const quietArrivals = drawChats(QUIET_MILLISECONDS, context);
        const quiet = await runLoad({ addresses, arrivals: quietArrivals });
        ran.clear();
        const events: Events = { lateAtDrained: 0, acceptMilliseconds: 0, returned: [] };
        let falseRefusals = 0;
        const load = runLoad({
            addresses,
            arrivals,
            progress: context.progress,
            onOutcome: (arrival, outcome) => {
                const { messages } = JSON.parse(arrival.request.body!) as {
                    readonly messages: readonly [{ readonly content: string }];
                };
                falseRefusals +=
                    outcome.kind === "refused" &&
                    outcome.verdict === "not-run" &&
                    ran.has(`user: ${messages[0].content}`)
                        ? 1
                        : 0;
            },
        });
        await playEvents(deployment, addresses, context, events);
        const result = await load;
        const { answered, refused, broken, wrong } = summariseLoad(result);
        const figures: Figures = {
            offered: arrivals.length,
            servedShare: Number(answered) / arrivals.length,
            refused: refused!,
            refusals: JSON.stringify(Object.fromEntries(result.refusals)),
            broken: broken!,
            firstBroken: result.broken[0] ?? "none",
            wrong: wrong!,
            firstWrong: result.wrong[0] ?? "none",
            ...latencies(result),
            ticketInForceMilliseconds: events.acceptMilliseconds,
            reachedDrainedAfter5Seconds: events.lateAtDrained,
            falseRefusals,
            engineFailures: deployment.engines.reduce((sum, { counters }) => sum + counters().failures, 0),
            returnedLoadOverOthers: events.returned.map(([, share]) => share.toFixed(2)).join(" "),
        };
        const daemons = await countViolations(deployment);
        return {
            figures,
            violations: daemons + events.lateAtDrained + falseRefusals + Number(wrong),
            returned: events.returned,
            undisturbed: {
                offered: quietArrivals.length,
                servedShare: Number(summariseLoad(quiet)["answered"]) / quietArrivals.length,
                ...latencies(quiet),
            },
        };
    }
    finally {
        await deployment.stop();
    }
}

export const dataCentre: Scenario = {
    name: "data-centre",
    description:
        "four data centres at 70% load: one drained by ticket and returned cold, then one lost without notice; served share, p99, refusals, late work at the drained one, against the undisturbed deployment",
    runs: "daemons",
    run: async context => {
        const { figures, violations, returned, undisturbed } = await run(context);
        return {
            figures,
            baselines: { undisturbed },
            violations,
            series: { "returned load over others": returned },
        };
    },
};
