/**
 * Measures the service while a data centre is drained and returns cold, and while another one fails without
 * notice.
 */
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
/** Index of the data centre that is drained and returns. */
const DRAINED_INDEX = 0;
/** Index of the data centre that fails. */
const FAILED_INDEX = 1;
const ENGINES_PER_DATA_CENTRE = 2;
const ENGINES = DATA_CENTRES.length * ENGINES_PER_DATA_CENTRE;
const CONCURRENCY = 16;
const COLD_CONCURRENCY = 4;
const COLD_MILLISECONDS = 3000;
const TOKENS = 40;
const TOKENS_PER_SECOND = 100;
const FIRST_TOKEN_MILLISECONDS = 50;
/** Share of the capacity of all engines that the load uses. */
const LOAD_SHARE = 0.7;
const REQUESTS_PER_SECOND =
    (LOAD_SHARE * ENGINES * CONCURRENCY * 1000) /
    (FIRST_TOKEN_MILLISECONDS + (TOKENS * 1000) / TOKENS_PER_SECOND);

/** Duration of the undisturbed baseline. */
const UNDISTURBED_MILLISECONDS = 4000;

/** Times of the events, in milliseconds from the start of the load. */
const DRAIN_AT = 3000;
const RETURN_AT = 12_000;
const FAIL_AT = 20_000;
const END_AT = 27_000;
/** Time in which a drain must take effect. Later requests at the drained data centre count as violations. */
const DRAIN_EFFECT_MILLISECONDS = 5000;

/** Time that the load balancer of the platform needs to detect a failed node. */
const CRASH_DETECTION_MILLISECONDS = 1000;

/**
 * Selects the engines of a data centre. The deployment assigns engines to data centres in round-robin order.
 */
function enginesOf(deployment: Deployment, dataCentre: number) {
    return deployment.engines.filter((_engine, index) => index % DATA_CENTRES.length === dataCentre);
}

function requestsAt(deployment: Deployment, dataCentre: number): number {
    return enginesOf(deployment, dataCentre).reduce((sum, engine) => sum + engine.counters().requests, 0);
}

const EXPECTED_TEXT = Array.from({ length: TOKENS }, (_unused, index) => `t${index} `).join("");

function checkText(text: string): string | undefined {
    return text === EXPECTED_TEXT ? undefined : `the text is "${text}"`;
}

async function setDataCentre(deployment: Deployment, number: number, state: "active" | "drained") {
    await deployment.apply({ number, changes: [dataCentreChange(DATA_CENTRES[DRAINED_INDEX]!, state)] });
}

interface Events {
    /** Number of requests at the drained data centre after the drain must have taken effect. */
    lateRequests: number;
    /** Time until the ticket that drains the data centre is in force at all nodes. */
    inForceMilliseconds: number;
    /**
     * For each second since the return: requests at the returned data centre divided by the mean of the
     * others.
     */
    readonly returned: [number, number][];
}

/**
 * Drains a data centre, restarts it cold and stops another one at the set times.
 *
 * @param addresses Nodes that the load uses. The failed node is removed.
 */
async function runEvents(
    deployment: Deployment,
    addresses: string[],
    context: ScenarioContext,
    events: Events,
): Promise<void> {
    const start = performance.now();
    const waitUntil = (milliseconds: number): Promise<void> =>
        delay(Math.max(0, start + milliseconds - performance.now()));

    await waitUntil(DRAIN_AT);
    context.progress("draining a data centre");
    const drainStart = performance.now();
    await setDataCentre(deployment, 2, "drained");
    events.inForceMilliseconds = performance.now() - drainStart;
    await delay(DRAIN_EFFECT_MILLISECONDS);
    const before = requestsAt(deployment, DRAINED_INDEX);
    await waitUntil(RETURN_AT);
    events.lateRequests = requestsAt(deployment, DRAINED_INDEX) - before;

    context.progress("the drained data centre returns cold");
    enginesOf(deployment, DRAINED_INDEX).forEach(engine => engine.restart());
    await setDataCentre(deployment, 3, "active");
    let previous = DATA_CENTRES.map((_name, index) => requestsAt(deployment, index));
    for (let second = 1; RETURN_AT + second * 1000 <= FAIL_AT; second += 1) {
        await waitUntil(RETURN_AT + second * 1000);
        const now = DATA_CENTRES.map((_name, index) => requestsAt(deployment, index));
        const increases = now.map((count, index) => count - previous[index]!);
        const others = increases.filter((_count, index) => index !== DRAINED_INDEX);
        const mean = others.reduce((sum, count) => sum + count, 0) / others.length;
        events.returned.push([second, increases[DRAINED_INDEX]! / Math.max(1, mean)]);
        previous = now;
    }

    context.progress("stopping a data centre without notice");
    const node = deployment.nodes[FAILED_INDEX]!;
    node.process.kill("SIGKILL");
    await Promise.all(enginesOf(deployment, FAILED_INDEX).map(engine => engine.close()));
    await delay(CRASH_DETECTION_MILLISECONDS);
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
    /** Prompts for which an engine has generated at least one token. */
    const startedPrompts = new Set<string>();
    const engine = {
        ...benchEngineOptions(TOKENS_PER_SECOND, FIRST_TOKEN_MILLISECONDS),
        coldConcurrency: COLD_CONCURRENCY,
        coldMilliseconds: COLD_MILLISECONDS,
        tokenText: (prompt: string, index: number) => {
            startedPrompts.add(prompt);
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
        const undisturbedArrivals = drawChats(UNDISTURBED_MILLISECONDS, context);
        const undisturbedLoad = await runLoad({ addresses, arrivals: undisturbedArrivals });
        startedPrompts.clear();
        const events: Events = { lateRequests: 0, inForceMilliseconds: 0, returned: [] };
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
                    startedPrompts.has(`user: ${messages[0].content}`)
                        ? 1
                        : 0;
            },
        });
        await runEvents(deployment, addresses, context, events);
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
            ticketInForceMilliseconds: events.inForceMilliseconds,
            reachedDrainedAfter5Seconds: events.lateRequests,
            falseRefusals,
            engineFailures: deployment.engines.reduce((sum, { counters }) => sum + counters().failures, 0),
            returnedLoadOverOthers: events.returned.map(([, share]) => share.toFixed(2)).join(" "),
        };
        const daemons = await countViolations(deployment);
        return {
            figures,
            violations: daemons + events.lateRequests + falseRefusals + Number(wrong),
            returned: events.returned,
            undisturbed: {
                offered: undisturbedArrivals.length,
                servedShare: Number(summariseLoad(undisturbedLoad)["answered"]) / undisturbedArrivals.length,
                ...latencies(undisturbedLoad),
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
        "four data centres at 70% load: one drained by ticket and returned cold, then one failed without notice; served share, p99, rejections, late requests at the drained one, against the undisturbed deployment",
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
