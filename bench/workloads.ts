/**
 * Workloads modelled on the two users in the design page. The shares and lengths are assumptions: the page
 * names the kinds of requests and the most important ones, but gives no shares.
 */
import type { Random } from "../src/node/common/random.js";
import { poissonTimes } from "./load.js";
import type { Arrival, LoadRequest } from "./load.js";

export interface WorkloadWorkspace {
    readonly name: string;
    readonly apiKey: string;
    /** Share of the requests. */
    readonly share: number;
}

/** Requests of one user, and the entities that they need in the configuration. */
export interface Workload {
    readonly name: string;
    readonly dataCentres: readonly string[];
    readonly region: string;
    readonly workspaces: readonly WorkloadWorkspace[];
    /** Models and cascades that the requests use. */
    readonly models: readonly string[];
    /** Plain services that the requests call. */
    readonly services: readonly string[];
    readonly kinds: readonly RequestKind[];
}

export interface RequestKind {
    readonly name: string;
    /** Share of the requests. */
    readonly share: number;
    readonly build: (context: BuildContext) => Omit<LoadRequest, "kind">;
}

export interface BuildContext {
    readonly workspace: WorkloadWorkspace;
    readonly random: Random;
    /** Index of the request in the run, from 0. */
    readonly sequence: number;
}

const WORKSPACE_COUNT = 10;

/** Number of sessions that the chat requests of a workspace are distributed over. */
const SESSIONS_PER_WORKSPACE = 20;

/** Repeated to create prompts of a given length; about one token. */
const PROMPT_WORD = "drum ";

/** Creates workspaces of unequal size: the share of the n-th is proportional to 1/n. */
function createWorkspaces(prefix: string): readonly WorkloadWorkspace[] {
    const weights = Array.from({ length: WORKSPACE_COUNT }, (_, index) => 1 / (index + 1));
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return weights.map((weight, index) => ({
        name: `${prefix}-${index + 1}`,
        apiKey: `key-of-${prefix}-${index + 1}`,
        share: weight / sum,
    }));
}

/** Draws an integer with a log-uniform distribution, so that short lengths are common and long ones rare. */
function drawLength(random: Random, shortest: number, longest: number): number {
    return Math.round(shortest * (longest / shortest) ** random());
}

function pickByShare<Item extends { readonly share: number }>(items: readonly Item[], random: Random): Item {
    let remaining = random() * items.reduce((sum, item) => sum + item.share, 0);
    return items.find(item => (remaining -= item.share) < 0) ?? items.at(-1)!;
}

interface ChatOptions {
    readonly model: string;
    readonly promptWords: readonly [shortest: number, longest: number];
    readonly answerTokens: readonly [shortest: number, longest: number];
    readonly stream: boolean;
    /** Whether the requests belong to sessions, half of which send the session token. */
    readonly sessions: boolean;
}

function jsonHeaders(workspace: WorkloadWorkspace): Record<string, string> {
    return { authorization: `Bearer ${workspace.apiKey}`, "content-type": "application/json" };
}

/** Builds requests to `/v1/chat/completions`. */
function chatBuilder(options: ChatOptions): RequestKind["build"] {
    return ({ workspace, random, sequence }) => {
        const session = Math.floor(random() * SESSIONS_PER_WORKSPACE);
        const words = drawLength(random, ...options.promptWords);
        const body = {
            model: options.model,
            stream: options.stream,
            max_tokens: drawLength(random, ...options.answerTokens),
            messages: [{ role: "user", content: `request ${sequence}: ${PROMPT_WORD.repeat(words)}` }],
        };
        return {
            method: "POST",
            path: "/v1/chat/completions",
            headers: {
                ...jsonHeaders(workspace),
                ...(options.sessions ? { "session-id": `${workspace.name}-session-${session}` } : {}),
            },
            body: JSON.stringify(body),
            expects: options.stream ? "stream" : "completion",
            echoesSessionToken: options.sessions && session % 2 === 0,
        };
    };
}

/** Builds calls of a plain service that must be executed at most once. */
function bookingBuilder(path: string): RequestKind["build"] {
    return ({ workspace, random, sequence }) => ({
        method: "POST",
        path,
        headers: {
            ...jsonHeaders(workspace),
            "idempotency-key": `${workspace.name}-${sequence}-${Math.floor(random() * 2 ** 32)}`,
        },
        body: JSON.stringify({ workspace: workspace.name, request: sequence }),
        expects: "any",
    });
}

/** Builds calls of a plain service that may be repeated. */
function lookupBuilder(path: string): RequestKind["build"] {
    return ({ workspace, random }) => ({
        method: "GET",
        path: `${path}/${Math.floor(random() * 1000)}`,
        headers: { authorization: `Bearer ${workspace.apiKey}` },
        expects: "any",
    });
}

/** Builds deferred jobs: chat requests whose results are fetched later. */
function jobBuilder(options: ChatOptions): RequestKind["build"] {
    const build = chatBuilder({ ...options, stream: false, sessions: false });
    return context => ({ ...build(context), path: "/jobs", expects: "any" });
}

export const tambores: Workload = {
    name: "tambores",
    dataCentres: ["lavado", "pintura", "patio", "oficina"],
    region: "rosario",
    workspaces: createWorkspaces("tambores"),
    models: ["inspection", "inspection-cascade"],
    services: ["pickups", "stock"],
    kinds: [
        {
            name: "inspection-report",
            share: 0.1,
            build: jobBuilder({
                model: "inspection",
                promptWords: [500, 4000],
                answerTokens: [500, 3000],
                stream: false,
                sessions: false,
            }),
        },
        {
            name: "inspection-question",
            share: 0.5,
            build: chatBuilder({
                model: "inspection-cascade",
                promptWords: [20, 400],
                answerTokens: [10, 300],
                stream: true,
                sessions: true,
            }),
        },
        { name: "pickup-booking", share: 0.1, build: bookingBuilder("/services/pickups/bookings") },
        { name: "stock-lookup", share: 0.3, build: lookupBuilder("/services/stock/drums") },
    ],
};

export const spogulis: Workload = {
    name: "spogulis",
    dataCentres: ["riga-1", "riga-2", "riga-3", "riga-4"],
    region: "riga",
    workspaces: createWorkspaces("spogulis"),
    models: ["counter", "counter-cascade", "parts"],
    services: ["glass", "stock"],
    kinds: [
        {
            name: "stock-reconciliation",
            share: 0.1,
            build: chatBuilder({
                model: "counter",
                promptWords: [500, 3000],
                answerTokens: [200, 1000],
                stream: true,
                sessions: false,
            }),
        },
        {
            name: "counter-question",
            share: 0.45,
            build: chatBuilder({
                model: "counter-cascade",
                promptWords: [20, 300],
                answerTokens: [10, 200],
                stream: true,
                sessions: true,
            }),
        },
        {
            name: "part-classification",
            share: 0.3,
            build: chatBuilder({
                model: "parts",
                promptWords: [10, 60],
                answerTokens: [2, 8],
                stream: false,
                sessions: false,
            }),
        },
        { name: "glass-reservation", share: 0.15, build: bookingBuilder("/services/glass/reservations") },
    ],
};

export interface ArrivalOptions {
    readonly ratePerSecond: number;
    readonly durationMilliseconds: number;
    readonly random: Random;
}

/** Draws the arrivals of a workload. Equal seeds of `random` give equal arrivals. */
export function drawArrivals(workload: Workload, options: ArrivalOptions): readonly Arrival[] {
    const { random } = options;
    return poissonTimes(options.ratePerSecond, options.durationMilliseconds, random).map(
        (atMilliseconds, sequence) => {
            const kind = pickByShare(workload.kinds, random);
            const workspace = pickByShare(workload.workspaces, random);
            const request = { ...kind.build({ workspace, random, sequence }), kind: kind.name };
            return { atMilliseconds, request };
        },
    );
}
