/** Ports on 127.0.0.1 for the nodes of a deployment. */
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { createServer } from "node:net";
import type { Server } from "node:net";

/** Below the ports that Linux gives to outgoing connections, which would take a free port before the node. */
const PORT_RANGE = { from: 12_000, to: 32_000 } as const;

type Bind = (port: number) => Promise<Server | Socket | undefined>;

function resolveUnlessTaken(
    endpoint: Server | Socket,
    bind: (whenBound: () => void) => void,
): Promise<Server | Socket | undefined> {
    return new Promise((resolve, reject) => {
        endpoint.once("error", (error: NodeJS.ErrnoException) =>
            error.code === "EADDRINUSE" ? resolve(undefined) : reject(error),
        );
        bind(() => resolve(endpoint));
    });
}

const bindStream: Bind = port => {
    const server = createServer(socket => socket.destroy());
    return resolveUnlessTaken(server, whenBound => server.listen(port, "127.0.0.1", whenBound));
};

const bindDatagram: Bind = port => {
    const socket = createSocket("udp4");
    return resolveUnlessTaken(socket, whenBound => socket.bind(port, "127.0.0.1", whenBound));
};

async function isFree(port: number): Promise<boolean> {
    for (const bind of [bindStream, bindDatagram]) {
        const endpoint = await bind(port);
        if (endpoint === undefined) {
            return false;
        }
        await new Promise<void>(resolve => endpoint.close(() => resolve()));
    }
    return true;
}

/** Ports that a process hands out in turn. The first one is not handed out: it marks the slice as taken. */
const PORTS_PER_SLICE = 100;

/**
 * Takes a slice of the ports until the process ends.
 *
 * @returns the first port of the slice
 */
async function claimSlice(): Promise<number> {
    const slices = Math.floor((PORT_RANGE.to - PORT_RANGE.from) / PORTS_PER_SLICE);
    for (let index = 0; index < slices; index += 1) {
        const firstPort = PORT_RANGE.from + ((process.pid + index) % slices) * PORTS_PER_SLICE;
        const mark = await bindStream(firstPort);
        if (mark !== undefined) {
            mark.unref();
            return firstPort;
        }
    }
    throw new Error(`all ${slices} slices of ports are taken`);
}

/** First ports of the slices of this process. */
const slices: Promise<number>[] = [];
let nextPort = 0;

/**
 * Finds ports that no socket holds, neither for TCP nor for UDP, and that no other process hands out.
 *
 * @throws Error when the slices of this process have too few.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const portsPerSlice = PORTS_PER_SLICE - 1;
    while (slices.length * portsPerSlice < count || slices.length === 0) {
        slices.push(claimSlice());
    }
    const firstPorts = await Promise.all(slices);
    const ports: number[] = [];
    for (let tries = 0; ports.length < count; tries += 1) {
        if (tries > firstPorts.length * PORTS_PER_SLICE) {
            throw new Error(`fewer than ${count} ports from ${firstPorts.join(", ")} on are free`);
        }
        const index = nextPort % (firstPorts.length * portsPerSlice);
        nextPort += 1;
        const port = firstPorts[Math.floor(index / portsPerSlice)]! + 1 + (index % portsPerSlice);
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}
