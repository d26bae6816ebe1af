/** Measures first-token latency by placement, and goodput and fairness under overload. */
import type { DeploymentOptions } from "../../playground/deployment.js";
import {
    applyAndWarmUp,
    benchEngineOptions,
    chatRequest,
    countViolations,
    createBenchTicket,
    programWithPlacement,
    startBenchDeployment,
    createBenchUpstreams,
} from "../driver.js";
import type { BenchWorkspace } from "../driver.js";
import { poissonTimes, runLoad, summariseLoad } from "../load.js";
import type { Arrival, LoadResult } from "../load.js";
import type { Figures, Scenario, ScenarioContext } from "../scenario.js";

const DATA_CENTRES = ["lavado", "pintura"];
const LARGE: BenchWorkspace = { name: "large", apiKey: "large-key" };
const SMALL: BenchWorkspace = { name: "small", apiKey: "small-key" };

/** A third of the engines is slow, so that a placement that uses load reports makes a difference. */
const ENGINES = [
    benchEngineOptions(200, 20),
    benchEngineOptions(200, 20),
    benchEngineOptions(200, 20),
    benchEngineOptions(200, 20),
    benchEngineOptions(60, 60),
    benchEngineOptions(60, 60),
];
const OVERLOAD_CONCURRENCY = 8;

const PLACEMENT_CONCURRENCY = 8;
const NODES = 2;
const TOKENS = 40;
const PLACEMENT_MILLISECONDS = 4500;

/** Excludes the first requests of new processes, which are slow and would distort the first measurement. */
const WARM_UP_MILLISECONDS = 1500;

/**
 * 80% of the capacity of the budgets (48 concurrent requests, 0.22 s at a fast and 0.73 s at a slow engine).
 * The slow engines are overloaded when they receive a third of the requests.
 */
const PLACEMENT_REQUESTS_PER_SECOND = 100;

const OVERLOAD_ENGINES = [benchEngineOptions(200, 20), benchEngineOptions(200, 20)];

/** The two engines serve 16 concurrent requests, and an answer takes 0.22 s. */
const CAPACITY_PER_SECOND = (OVERLOAD_ENGINES.length * OVERLOAD_CONCURRENCY) / (0.02 + TOKENS / 200);
const OVERLOAD_MILLISECONDS = 3500;
const SMALL_SHARE_OF_CAPACITY = 0.25;
const TIMEOUT_MILLISECONDS = 2000;

const BASELINES = ["random", "round robin", "least loaded"];

async function withDeployment<Result>(
    options: Pick<DeploymentOptions, "nodes" | "engines" | "program">,
    concurrency: number,
    run: (addresses: readonly string[]) => Promise<Result>,
): Promise<{ readonly result: Result; readonly violations: number }> {
    const deployment = await startBenchDeployment({ ...options, dataCentres: DATA_CENTRES });
    try {
        await applyAndWarmUp(
            deployment,
            createBenchTicket(1, {
                dataCentres: DATA_CENTRES,
                workspaces: [LARGE, SMALL],
                engines: createBenchUpstreams(deployment.engines, "engine", DATA_CENTRES, concurrency),
            }),
            LARGE,
        );
        const result = await run(deployment.nodes.map(node => node.callers));
        return { result, violations: await countViolations(deployment) };
    }
    finally {
        await deployment.stop();
    }
}

function drawChats(
    workspace: BenchWorkspace,
    ratePerSecond: number,
    milliseconds: number,
    context: ScenarioContext,
): readonly Arrival[] {
    return poissonTimes(ratePerSecond, milliseconds, context.random).map((atMilliseconds, index) => {
        const request = chatRequest(workspace.name, workspace, `question ${index}`, TOKENS);
        const headers = { ...request.headers, "request-timeout-ms": String(TIMEOUT_MILLISECONDS) };
        return { atMilliseconds, request: { ...request, headers } };
    });
}

async function measurePlacement(
    placement: string | undefined,
    arrivals: readonly Arrival[],
    context: ScenarioContext,
) {
    context.progress(`placement: ${placement ?? "product"}`);
    return withDeployment(
        {
            nodes: NODES,
            engines: ENGINES,
            ...(placement === undefined ? {} : { program: programWithPlacement(placement) }),
        },
        PLACEMENT_CONCURRENCY,
        async addresses => {
            await runLoad({
                addresses,
                arrivals: arrivals.filter(({ atMilliseconds }) => atMilliseconds < WARM_UP_MILLISECONDS),
            });
            const load = await runLoad({ addresses, arrivals });
            const { answered, refused, broken, wrong, ...rest } = summariseLoad(load);
            return {
                answered: answered!,
                refused: refused!,
                broken: broken!,
                wrong: wrong!,
                firstTokenP50Milliseconds: rest.firstTokenP50Milliseconds!,
                firstTokenP95Milliseconds: rest.firstTokenP95Milliseconds!,
                firstTokenP99Milliseconds: rest.firstTokenP99Milliseconds!,
            };
        },
    );
}

interface OverloadResult {
    readonly figures: Figures;
    /** Number of rejections without the verdict `not-run` or without `Retry-After`. */
    readonly badRefusals: number;
}

async function measureOverload(
    factor: number,
    addresses: readonly string[],
    context: ScenarioContext,
): Promise<OverloadResult> {
    context.progress(`overload: ${factor} times the capacity`);
    const small = CAPACITY_PER_SECOND * SMALL_SHARE_OF_CAPACITY;
    const arrivals = [
        ...drawChats(SMALL, small, OVERLOAD_MILLISECONDS, context),
        ...drawChats(LARGE, CAPACITY_PER_SECOND * factor - small, OVERLOAD_MILLISECONDS, context),
    ].sort((a, b) => a.atMilliseconds - b.atMilliseconds);
    let badRefusals = 0;
    const start = performance.now();
    let inTime = 0;
    const load = await runLoad({
        addresses,
        arrivals,
        onOutcome: (_arrival, outcome) => {
            inTime +=
                outcome.kind === "answered" && performance.now() - start <= OVERLOAD_MILLISECONDS ? 1 : 0;
            badRefusals +=
                outcome.kind === "refused" && (outcome.verdict !== "not-run" || !outcome.hasRetryAfter)
                    ? 1
                    : 0;
        },
    });
    const name = `overload${factor}`;
    return {
        figures: {
            [`${name}GoodputOfCapacity`]: (inTime * 1000) / OVERLOAD_MILLISECONDS / CAPACITY_PER_SECOND,
            [`${name}SmallAnsweredShare`]: answeredShare(load, SMALL),
            [`${name}LargeAnsweredShare`]: answeredShare(load, LARGE),
            [`${name}SmallP95Milliseconds`]: p95(load, SMALL),
            [`${name}LargeP95Milliseconds`]: p95(load, LARGE),
            [`${name}Refusals`]: JSON.stringify(Object.fromEntries(load.refusals)),
            [`${name}BadRefusals`]: badRefusals,
        },
        badRefusals,
    };
}

function answeredShare(load: LoadResult, workspace: BenchWorkspace): number {
    const kind = load.kinds.get(workspace.name)!;
    return kind.answered / (kind.answered + kind.refused + kind.broken + kind.wrong);
}

function p95(load: LoadResult, workspace: BenchWorkspace): number {
    return load.kinds.get(workspace.name)!.firstToken.getValueAtPercentile(95) / 1000;
}

export const latency: Scenario = {
    name: "latency",
    description:
        "first-token latency of the product's placement against random, round robin and least loaded; goodput and the share of a small workspace at 1, 1.5 and 2 times the capacity",
    runs: "daemons",
    run: async context => {
        const arrivals = drawChats(
            LARGE,
            PLACEMENT_REQUESTS_PER_SECOND,
            context.long ? 3 * PLACEMENT_MILLISECONDS : PLACEMENT_MILLISECONDS,
            context,
        );
        const product = await measurePlacement(undefined, arrivals, context);
        const baselines: Record<string, Figures> = {};
        for (const placement of BASELINES) {
            baselines[placement] = (await measurePlacement(placement, arrivals, context)).result;
        }
        const overload = await withDeployment(
            { nodes: 1, engines: OVERLOAD_ENGINES },
            OVERLOAD_CONCURRENCY,
            async addresses => {
                const results: OverloadResult[] = [];
                for (const factor of [1, 1.5, 2]) {
                    results.push(await measureOverload(factor, addresses, context));
                }
                return results;
            },
        );
        return {
            figures: Object.assign(
                {},
                product.result,
                ...overload.result.map(({ figures }) => figures),
            ) as Figures,
            baselines,
            // Under overload, each rejection must state that the request did not run and when to retry.
            violations:
                product.violations +
                overload.violations +
                overload.result.reduce((sum, { badRefusals }) => sum + badRefusals, 0),
        };
    },
};
