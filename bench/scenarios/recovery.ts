/**
 * Counts requests that are lost, billed twice or run twice while nodes are replaced or killed or the table is
 * down.
 */
import { countBills } from "../../playground/bills.js";
import { setTimeout as delay } from "node:timers/promises";
import type { Deployment } from "../../playground/deployment.js";
import {
    DEFAULT_ADMISSION,
    SERVICE,
    WORKSPACE,
    benchEngineOptions,
    chatRequest,
    countViolations,
    createBenchTicket,
    startBenchDeployment,
    createBenchUpstreams,
} from "../driver.js";
import { poissonTimes, runLoad } from "../load.js";
import type { Arrival, LoadOutcome } from "../load.js";
import type { Figures, Scenario, ScenarioContext } from "../scenario.js";

const DATA_CENTRES = ["lavado", "pintura", "patio"];
const NODES = 3;
const CHATS_PER_SECOND = 60;
const BOOKINGS_PER_SECOND = 40;
const TOKENS = 50;

/** Time that the load balancer of the platform needs to detect a killed node. */
const CRASH_DETECTION_MILLISECONDS = 1000;
/** Time that it needs to detect a node that announces its stop. */
const LEAVING_DETECTION_MILLISECONDS = 300;

/** Time for which a stopping node still accepts requests. Must cover `LEAVING_DETECTION_MILLISECONDS`. */
const ANNOUNCE_MILLISECONDS = 1000;

/** Time from the start of a phase to its first fault. */
const FAULT_DELAY_MILLISECONDS = 1500;
const TABLE_DOWN_MILLISECONDS = 2500;

const PHASES = ["undisturbed", "replaced", "killed", "tableDown", "twoFaults"] as const;
type Phase = (typeof PHASES)[number];
const BASELINE: Phase = "undisturbed";
const PHASE_MILLISECONDS: Readonly<Record<Phase, number>> = {
    undisturbed: 3000,
    replaced: 10_000,
    killed: 5000,
    tableDown: 5000,
    twoFaults: 6000,
};

function bookingName(arrival: Arrival): string | undefined {
    return arrival.request.kind === "booking"
        ? (JSON.parse(arrival.request.body!) as { readonly booking: string }).booking
        : undefined;
}

function drawArrivals(phase: Phase, context: ScenarioContext): readonly Arrival[] {
    const milliseconds = PHASE_MILLISECONDS[phase];
    const chats = poissonTimes(CHATS_PER_SECOND, milliseconds, context.random).map(
        (atMilliseconds, index): Arrival => ({
            atMilliseconds,
            request: chatRequest("chat", WORKSPACE, `${phase} ${index}`, TOKENS),
        }),
    );
    const bookings = poissonTimes(BOOKINGS_PER_SECOND, milliseconds, context.random).map(
        (atMilliseconds, index): Arrival => ({
            atMilliseconds,
            request: {
                kind: "booking",
                method: "POST",
                path: `/services/${SERVICE}/bookings`,
                headers: {
                    authorization: `Bearer ${WORKSPACE.apiKey}`,
                    "content-type": "application/json",
                    "idempotency-key": `${context.seed}-${phase}-${index}`,
                },
                body: JSON.stringify({ booking: `${phase}-${index}` }),
                expects: "any",
            },
        }),
    );
    return [...chats, ...bookings].sort((a, b) => a.atMilliseconds - b.atMilliseconds);
}

/** Stops or kills a node, removes it from the load balancer, waits for its exit and adds its replacement. */
async function replaceNode(
    deployment: Deployment,
    addresses: string[],
    index: number,
    signal: "SIGTERM" | "SIGKILL",
): Promise<void> {
    const node = deployment.nodes[index]!;
    node.process.kill(signal);
    await delay(signal === "SIGKILL" ? CRASH_DETECTION_MILLISECONDS : LEAVING_DETECTION_MILLISECONDS);
    addresses.splice(addresses.indexOf(node.callers), 1);
    await node.exited;
    const replacement = await deployment.startNode(index);
    await deployment.waitUntilReady(replacement);
    addresses.push(replacement.callers);
}

async function injectFaults(deployment: Deployment, addresses: string[], phase: Phase): Promise<void> {
    const { platform } = deployment;
    const interruptTable = async (): Promise<void> => {
        platform.setFaults({ table: { ...NO_FAULTS, down: true } });
        await delay(TABLE_DOWN_MILLISECONDS);
        platform.setFaults({ table: NO_FAULTS });
    };
    await delay(FAULT_DELAY_MILLISECONDS);
    switch (phase) {
        case "undisturbed":
            return;
        case "replaced":
            for (let index = 0; index < NODES; index += 1) {
                await replaceNode(deployment, addresses, index, "SIGTERM");
            }
            return;
        case "killed":
            return replaceNode(deployment, addresses, 1, "SIGKILL");
        case "tableDown":
            return interruptTable();
        case "twoFaults": {
            // The table applies writes without a reply while a node is killed.
            platform.setFaults({ table: { ...NO_FAULTS, loseAnswers: true } });
            const replaced = replaceNode(deployment, addresses, 2, "SIGKILL");
            await delay(CRASH_DETECTION_MILLISECONDS);
            platform.setFaults({ table: NO_FAULTS });
            return replaced;
        }
    }
}

const NO_FAULTS = { down: false, delayMilliseconds: 0, loseAnswers: false, writesPerSecond: 0 };

interface PhaseResult {
    readonly figures: Record<string, number | string>;
    readonly violations: number;
}

async function measurePhase(
    phase: Phase,
    deployment: Deployment,
    addresses: string[],
    ranPrompts: ReadonlySet<string>,
    context: ScenarioContext,
): Promise<PhaseResult> {
    context.progress(phase);
    const arrivals = drawArrivals(phase, context);
    const outcomes: { readonly arrival: Arrival; readonly outcome: LoadOutcome }[] = [];
    const load = runLoad({
        addresses,
        arrivals,
        onOutcome: (arrival, outcome) => outcomes.push({ arrival, outcome }),
    });
    await injectFaults(deployment, addresses, phase);
    const result = await load;
    const runsOf = (booking: string): number =>
        deployment.services.reduce((sum, service) => sum + (service.runs.get(booking) ?? 0), 0);
    const count = (kind: LoadOutcome["kind"]): number =>
        outcomes.filter(({ outcome }) => outcome.kind === kind).length;
    const falseRefusals = outcomes.filter(({ arrival, outcome }) => {
        const booking = bookingName(arrival);
        const ran =
            booking === undefined ? ranPrompts.has(`user: ${promptOf(arrival)}`) : runsOf(booking) > 0;
        return outcome.kind === "refused" && outcome.verdict === "not-run" && ran;
    }).length;
    const bookings = outcomes.map(({ arrival }) => bookingName(arrival)).filter(name => name !== undefined);
    const runTwice = bookings.filter(booking => runsOf(booking) > 1).length;
    const answeredNotRun = outcomes.filter(({ arrival, outcome }) => {
        const booking = bookingName(arrival);
        return outcome.kind === "answered" && booking !== undefined && runsOf(booking) === 0;
    }).length;
    // Only a planned stop guarantees that no request is broken off.
    const prefix = phase === BASELINE ? "" : `${phase}: `;
    const brokenOff = phase === "replaced" || phase === BASELINE ? count("broken") : 0;
    return {
        figures: {
            [`${prefix}sent`]: outcomes.length,
            [`${prefix}answered`]: count("answered"),
            [`${prefix}refused`]: count("refused"),
            [`${prefix}refusals`]: JSON.stringify(Object.fromEntries(result.refusals)),
            [`${prefix}lost`]: count("broken"),
            [`${prefix}firstLost`]: result.broken[0] ?? "none",
            [`${prefix}wrong`]: count("wrong"),
            [`${prefix}falselyRefused`]: falseRefusals,
            [`${prefix}bookingsRunTwice`]: runTwice,
            [`${prefix}bookingsAnsweredNotRun`]: answeredNotRun,
        },
        violations: falseRefusals + runTwice + answeredNotRun + count("wrong") + brokenOff,
    };
}

function promptOf(arrival: Arrival): string {
    return (
        JSON.parse(arrival.request.body!) as { readonly messages: readonly [{ readonly content: string }] }
    ).messages[0].content;
}

export const recovery: Scenario = {
    name: "recovery",
    description:
        "all nodes replaced by SIGTERM under load, a third killed, the table service down, and two faults at once; requests lost, billed twice, run twice, rejected as not run although they ran, against an undisturbed phase",
    runs: "daemons",
    run: async context => {
        const ranPrompts = new Set<string>();
        const engine = {
            ...benchEngineOptions(200, 20),
            tokenText: (prompt: string, index: number) => {
                ranPrompts.add(prompt);
                return `t${index} `;
            },
        };
        const deployment = await startBenchDeployment({
            nodes: NODES,
            dataCentres: DATA_CENTRES,
            engines: [engine, engine, engine],
            services: 2,
            settings: {
                limits: { announceMilliseconds: ANNOUNCE_MILLISECONDS },
                admission: DEFAULT_ADMISSION,
            },
        });
        const figures: Record<string, Figures[string]> = {};
        const baseline: Record<string, Figures[string]> = {};
        let violations = 0;
        let isStopped = false;
        try {
            await deployment.apply(
                createBenchTicket(1, {
                    dataCentres: DATA_CENTRES,
                    workspaces: [WORKSPACE],
                    engines: createBenchUpstreams(deployment.engines, "engine", DATA_CENTRES),
                    services: createBenchUpstreams(deployment.services, "service", DATA_CENTRES),
                }),
            );
            const addresses = deployment.nodes.map(node => node.callers);
            for (const phase of PHASES) {
                const phaseResult = await measurePhase(phase, deployment, addresses, ranPrompts, context);
                Object.assign(phase === BASELINE ? baseline : figures, phaseResult.figures);
                violations += phaseResult.violations;
            }
            violations += await countViolations(deployment);
            // A planned stop writes the bills that the nodes still hold.
            isStopped = true;
            await deployment.stop();
        }
        finally {
            if (!isStopped) {
                await deployment.stop();
            }
        }
        const bills = countBills(deployment.platform.objects);
        const billedTwice = [...bills.values()].filter(count => count > 1).length;
        return {
            figures: { ...figures, bills: bills.size, billedTwice },
            baselines: { undisturbed: baseline },
            violations: violations + billedTwice,
        };
    },
};
