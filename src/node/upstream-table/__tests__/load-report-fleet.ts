/** Nodes that exchange load reports over sockets in memory, on the clock of the test. */
import type { TestContext } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { createPeerStates } from "../../handover/helpers.js";
import type { PeerStates } from "../../handover/helpers.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import type { Lifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import { createAggregationPlans } from "../aggregation-plan.js";
import type { ReportingNode } from "../aggregation-plan.js";
import { createBrittleServices } from "../brittle-services.js";
import type { BrittleServices } from "../brittle-services.js";
import { createLoadBoard } from "../load-board.js";
import type { LoadBoard } from "../load-board.js";
import { createLoadReports } from "../load-reports.js";
import type { DatagramContent, LoadReportOptions, LoadReports } from "../load-reports.js";

export interface TestNode {
    readonly entry: ReportingNode;
    readonly board: LoadBoard;
    readonly states: PeerStates;
    readonly brittle: BrittleServices;
    readonly reports: LoadReports;
    readonly ejected: Set<string>;
    isIsolated: boolean;
    /** The node neither sends nor receives. */
    isCutOff: boolean;
    sentDatagrams: number;
    sentBytes: number;
    receivedDatagrams: number;
    lastDatagram: string;
    largestBytes: number;
    /** Bytes that the node has sent, by what they hold. */
    readonly sent: Map<DatagramContent, number>;
}

export interface Fleet {
    readonly nodes: readonly TestNode[];
    advance(milliseconds: number): Promise<void>;
    /** Whether a datagram is lost. */
    loses: (from: TestNode, to: TestNode) => boolean;
}

export interface FleetOptions {
    /** Whether the version of a node aggregates reports. @default yes */
    readonly aggregates?: (index: number) => boolean;
    /** Quarantine of a node. @default none */
    readonly quarantineOf?: (node: string, reports: () => LoadReports) => LoadReportOptions["quarantine"];
}

/** Has no evidence. */
export const NO_QUARANTINE: LoadReportOptions["quarantine"] = {
    report: () => undefined,
    merge: () => undefined,
    withoutCleared: report => report,
};

const SETTLING_MILLISECONDS = 2500;

export async function createFleet(
    context: TestContext,
    size: number,
    dataCentres: number,
    { aggregates = () => true, quarantineOf = () => NO_QUARANTINE }: FleetOptions = {},
): Promise<Fleet> {
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"] });
    const random = createSeededRandom(size);
    const entries: readonly ReportingNode[] = Array.from({ length: size }, (_, index) => ({
        id: `node-${index}`,
        dataCentre: `dc-${index % dataCentres}`,
        address: `10.0.0.${index}`,
        ...(aggregates(index) ? { aggregatesLoads: true } : {}),
    }));
    const receivers = new Map<string, (datagram: Buffer, from: TestNode) => void>();
    const lifecycles: Lifecycle[] = [];
    const clock = { now: Date.now, wallTime: Date.now };
    const fleet: Fleet = {
        nodes: [],
        loses: () => false,
        advance: async milliseconds => {
            for (let elapsed = 0; elapsed < milliseconds; elapsed += 5) {
                context.mock.timers.tick(5);
                await Promise.resolve();
            }
        },
    };
    const nodes = fleet.nodes as TestNode[];
    for (const entry of entries) {
        const lifecycle = createLifecycle();
        const board = createLoadBoard();
        const states = createPeerStates();
        const brittle = createBrittleServices();
        const ejected = new Set<string>();
        const node: TestNode = {
            entry,
            board,
            states,
            brittle,
            ejected,
            isIsolated: false,
            isCutOff: false,
            sentDatagrams: 0,
            sentBytes: 0,
            receivedDatagrams: 0,
            lastDatagram: "",
            largestBytes: 0,
            sent: new Map(),
            reports: createLoadReports({
                node: entry.id,
                dataCentre: entry.dataCentre,
                address: entry.address,
                port: 1,
                plan: createAggregationPlans(entry, () => entries),
                openPort: () => ({
                    bind: (_port, _address, onBound) => onBound(),
                    send: (datagram, _port, address) => {
                        const bytes = Buffer.from(datagram as string);
                        node.sentDatagrams += 1;
                        node.lastDatagram = bytes.toString();
                        node.sentBytes += bytes.length;
                        node.largestBytes = Math.max(node.largestBytes, bytes.length);
                        setTimeout(() => receivers.get(address)!(bytes, node), 1);
                    },
                    onMessage: listener =>
                        void receivers.set(entry.address, (datagram, from) => {
                            if (!node.isCutOff && !from.isCutOff && !fleet.loses(from, node)) {
                                node.receivedDatagrams += 1;
                                listener(datagram);
                            }
                        }),
                    onError: () => () => undefined,
                    close: () => undefined,
                }),
                board,
                ejected: () => [...ejected],
                quarantine: quarantineOf(entry.id, () => node.reports),
                countSent: (content, count) =>
                    void node.sent.set(content, (node.sent.get(content) ?? 0) + count),
                limits: { report: () => undefined, merge: () => undefined },
                brittle,
                isIsolated: () => node.isIsolated,
                peerStates: states,
                clock,
                random,
                lifecycle,
                logger: silentLogging("loads"),
            }),
        };
        nodes.push(node);
        lifecycles.push(lifecycle);
    }
    // Nodes do not start in step.
    for (const lifecycle of lifecycles) {
        await lifecycle.start();
        await fleet.advance(5 * Math.floor(random() * 4));
    }
    context.after(() => Promise.all(lifecycles.map(lifecycle => lifecycle.stop())));
    await fleet.advance(SETTLING_MILLISECONDS);
    return fleet;
}
