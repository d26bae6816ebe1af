/** Starts worker processes of the bench tool, so that no two measured components share a process. */
import { fork } from "node:child_process";
import type { EngineOptions } from "../playground/stand-ins/engine.js";
import type { WorkerAnswer, WorkerCall } from "./worker-process.js";

export interface Worker {
    readonly processId: number;
    /** Base URL; empty for workers that do not listen. */
    readonly address: string;
    call<Call extends WorkerCall>(call: Call): Promise<WorkerAnswer<Call>>;
    stop(): Promise<void>;
}

/** Task of a worker. Engines generate tokens of `tokenCharacters` characters. */
export type WorkerRole =
    | {
          readonly kind: "engine";
          readonly options: Omit<EngineOptions, "tokenText">;
          readonly tokenCharacters?: number;
      }
    /** Pipes each request to `origin` and the answer back, without further processing. */
    | { readonly kind: "pipe"; readonly origin: string }
    | { readonly kind: "client" };

interface Reply {
    readonly id: number;
    readonly result?: unknown;
    readonly error?: string;
}

export async function startWorker(role: WorkerRole): Promise<Worker> {
    // Advanced serialization supports `Infinity`, JSON does not.
    const child = fork(new URL("./worker-process.js", import.meta.url).pathname, {
        serialization: "advanced",
    });
    const exited = new Promise(resolve => child.once("exit", resolve));
    const pending = new Map<number, (reply: Reply) => void>();
    let nextId = 0;
    child.on("message", message => {
        const reply = message as Reply;
        pending.get(reply.id)?.(reply);
        pending.delete(reply.id);
    });
    child.once("exit", code => {
        for (const [id, resolveCall] of pending) {
            resolveCall({ id, error: `the worker exited with ${code}` });
        }
    });
    const callWorker = (body: unknown): Promise<unknown> =>
        new Promise((resolve, reject) => {
            const id = (nextId += 1);
            pending.set(id, reply =>
                reply.error === undefined ? resolve(reply.result) : reject(new Error(reply.error)),
            );
            child.send({ id, body });
        });
    const address = (await callWorker(role)) as string;
    return {
        processId: child.pid!,
        address,
        call: call => callWorker(call) as Promise<WorkerAnswer<typeof call>>,
        stop: async () => {
            if (child.connected) {
                child.disconnect();
            }
            await exited;
        },
    };
}
