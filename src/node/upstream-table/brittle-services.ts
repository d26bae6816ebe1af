/**
 * Services whose upstreams state that they crash under too many rejections.
 *
 * All upstreams of a service make the statement at the same time, so one statement holds for all of them, also
 * for one that has just restarted and has not answered yet. Nodes pass their newest statements on.
 */
import { createBoundedMap } from "../common/bounded-map.js";

/** Statement of a service. `age` in milliseconds. */
export type WireBrittleService = readonly [service: string, age: number];

export interface BrittleServices {
    /**
     * Records what a response said.
     *
     * @param isBrittle Whether the upstream stated that rejections crash it.
     * @param sentAt Monotonic time at which the request was sent.
     */
    record(service: string, process: string, isBrittle: boolean, sentAt: number, now: number): void;
    isBrittle(service: string, now: number): boolean;
    merge(services: readonly WireBrittleService[], now: number): void;
    /** Statements for the other nodes; `undefined` when there are none to report now. */
    report(now: number): readonly WireBrittleService[] | undefined;
}

/** Time for which the statement of an upstream holds without another answer of it, milliseconds. */
const VALIDITY_MILLISECONDS = 10_000;

/** Time for which a statement that another node passed on holds, milliseconds: several reports. */
const REPORTED_VALIDITY_MILLISECONDS = 5000;

/** Interval at which statements are reported again, for nodes that missed them, milliseconds. */
const REPEAT_MILLISECONDS = 1000;

const MAXIMUM_REPORTED_SERVICES = 16;

const MAXIMUM_SERVICES = 1024;

/** Processes of a service whose statements are kept. */
const MAXIMUM_PROCESSES = 1024;

interface ServiceState {
    /** Monotonic time of the newest statement, by process. */
    readonly statements: ReturnType<typeof createBoundedMap<number>>;
    /** Monotonic time of the newest statement of this node's upstreams. */
    statedAt: number;
    /** Monotonic time of the newest statement that another node passed on. */
    reportedAt: number;
    /** Whether other nodes have not been told yet. */
    isNews: boolean;
}

export function createBrittleServices(): BrittleServices {
    const services = createBoundedMap<ServiceState>(MAXIMUM_SERVICES);
    let repeatedAt = -Infinity;

    const stateOf = (service: string): ServiceState => {
        const known = services.get(service);
        if (known !== undefined) {
            return known;
        }
        const state: ServiceState = {
            statements: createBoundedMap(MAXIMUM_PROCESSES),
            statedAt: -Infinity,
            reportedAt: -Infinity,
            isNews: false,
        };
        services.set(service, state);
        return state;
    };

    const isStated = (state: ServiceState, now: number): boolean =>
        state.statements.size > 0 && now - state.statedAt < VALIDITY_MILLISECONDS;

    return {
        record: (service, process, isBrittle, sentAt, now) => {
            if (isBrittle) {
                const state = stateOf(service);
                state.isNews ||= !isStated(state, now);
                state.statements.set(process, now);
                state.statedAt = now;
                return;
            }
            const statements = services.get(service)?.statements;
            const statedAt = statements?.get(process);
            // A response to a request from before the statement may be older than it.
            if (statedAt !== undefined && sentAt >= statedAt) {
                statements!.delete(process);
            }
        },
        isBrittle: (service, now) => {
            const state = services.get(service);
            return (
                state !== undefined &&
                (isStated(state, now) || now - state.reportedAt < REPORTED_VALIDITY_MILLISECONDS)
            );
        },
        merge: (reported, now) => {
            for (const [service, age] of reported) {
                const state = stateOf(service);
                state.reportedAt = Math.max(state.reportedAt, now - age);
            }
        },
        report: now => {
            const isRepeat = now - repeatedAt >= REPEAT_MILLISECONDS;
            const reported = [...services.entries()].filter(
                ([, state]) => isStated(state, now) && (isRepeat || state.isNews),
            );
            if (reported.length === 0) {
                return undefined;
            }
            repeatedAt = isRepeat ? now : repeatedAt;
            return reported.slice(0, MAXIMUM_REPORTED_SERVICES).map(([service, state]) => {
                state.isNews = false;
                return [service, Math.round(now - state.statedAt)] as const;
            });
        },
    };
}
