/**
 * Sends the calls of the duties: at most one of each duty at a time, below the rate that all nodes share, and one
 * later call after a rejection for load or a lost answer. Every call is checked against the lease right before it
 * is written, and its connection is reset before the lease ends.
 */
import type { Clock } from "../common/clock.js";
import type { Logger } from "../logging/logging.js";
import type { DutyHold } from "./duty-lease.js";
import type { DutyAnswer, DutyCall, SendDuty } from "./duty-receiver.js";

/** What became of a call. */
export type DeliveryResult = "settled" | "later";

export interface DutySender {
    /** Whether a call of the duty may be sent now. */
    canSend(duty: DutyCall["kind"]): boolean;
    /** Sends a call. `settled` when it needs no other one. */
    send(call: DutyCall): Promise<DeliveryResult>;
    /** Whether the receiver has not answered for so long that another node should try. */
    isReceiverAway(): boolean;
}

export interface DutySenderOptions {
    /** Name of this node. */
    readonly node: string;
    readonly hold: () => DutyHold | undefined;
    readonly sendDuty: SendDuty;
    /** Calls per second that all nodes together may make. */
    readonly callsPerSecond: number;
    readonly count: (duty: DutyCall["kind"], result: string) => void;
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Share of the rate that the holder uses, so that bursts of delayed calls stay below it. */
const USED_RATE_SHARE = 0.5;

const CALL_TIMEOUT_MILLISECONDS = 1500;

/** Time before the end of the lease at which a call must have ended, milliseconds. */
const END_MARGIN_MILLISECONDS = 100;

/** A call with less time left is not begun, milliseconds. */
const MINIMUM_CALL_MILLISECONDS = 300;

/** Pause after a call that must be repeated, milliseconds. Doubles with each one. */
const INITIAL_PAUSE_MILLISECONDS = 500;
const MAXIMUM_PAUSE_MILLISECONDS = 4000;

/** Time without an answer to any call after which another node should try, milliseconds. */
const AWAY_AFTER_MILLISECONDS = 8000;

/** Time for which this node leaves the duties to others then, milliseconds. */
const AWAY_MILLISECONDS = 15_000;

interface DutyProgress {
    readonly isOpen: boolean;
    readonly notBefore: number;
    readonly pause: number;
}

const IDLE: DutyProgress = { isOpen: false, notBefore: -Infinity, pause: INITIAL_PAUSE_MILLISECONDS };

function describeCall(call: DutyCall): Readonly<Record<string, string | number>> {
    switch (call.kind) {
        case "usage": {
            const requests = Object.values(call.counts).reduce((sum, count) => sum + count, 0);
            return { window: call.window, workspaces: Object.keys(call.counts).length, requests };
        }
        case "scaling":
            return {
                service: call.service,
                ordersFor: call.dataCentre,
                desiredCount: call.desiredCount,
            };
    }
}

export function createDutySender(options: DutySenderOptions): DutySender {
    const { clock, logger } = options;
    const progress = new Map<DutyCall["kind"], DutyProgress>();
    const gapMilliseconds = 1000 / (options.callsPerSecond * USED_RATE_SHARE);
    let lastSentAt = -Infinity;
    let unansweredSince: number | undefined;
    let awayUntil = -Infinity;

    const timeLeft = (): number =>
        (options.hold()?.until ?? -Infinity) - clock.now() - END_MARGIN_MILLISECONDS;

    const recordContact = (answer: DutyAnswer): void => {
        if (answer.kind === "not-sent") {
            return;
        }
        if (answer.kind !== "unknown") {
            unansweredSince = undefined;
            return;
        }
        unansweredSince ??= clock.now();
        if (clock.now() - unansweredSince >= AWAY_AFTER_MILLISECONDS) {
            awayUntil = clock.now() + AWAY_MILLISECONDS;
            unansweredSince = undefined;
        }
    };

    const logAnswer = (call: DutyCall, token: number | undefined, answer: DutyAnswer): void => {
        const fields = { duty: call.kind, ...describeCall(call), token, ...answer, kind: undefined };
        switch (answer.kind) {
            case "accepted":
                logger.info("A call of a duty was accepted.", fields);
                return;
            case "rejected":
                logger.error("A call of a duty was rejected for good.", fields);
                return;
            case "not-sent":
            case "busy":
            case "unknown":
                logger.warn("A call of a duty must be repeated.", { ...fields, result: answer.kind });
        }
    };

    return {
        canSend: duty => {
            const { isOpen, notBefore } = progress.get(duty) ?? IDLE;
            const now = clock.now();
            return (
                !isOpen &&
                now >= notBefore &&
                now - lastSentAt >= gapMilliseconds &&
                timeLeft() >= MINIMUM_CALL_MILLISECONDS
            );
        },
        send: async call => {
            const { pause } = progress.get(call.kind) ?? IDLE;
            progress.set(call.kind, { isOpen: true, notBefore: Infinity, pause });
            lastSentAt = clock.now();
            const token = options.hold()?.token;
            const answer = await options.sendDuty({
                call,
                stamp: () => {
                    const hold = options.hold();
                    // The lease may have been lost and acquired again while the connection was opened.
                    return hold === undefined || hold.token !== token
                        ? undefined
                        : { holder: options.node, token: hold.token };
                },
                timeoutMilliseconds: Math.min(CALL_TIMEOUT_MILLISECONDS, Math.max(0, timeLeft())),
            });
            options.count(call.kind, answer.kind);
            recordContact(answer);
            logAnswer(call, token, answer);
            if (answer.kind === "accepted" || answer.kind === "rejected") {
                progress.set(call.kind, IDLE);
                return "settled";
            }
            const asked = answer.kind === "busy" ? (answer.retryAfterSeconds ?? 0) * 1000 : 0;
            progress.set(call.kind, {
                isOpen: false,
                notBefore: clock.now() + Math.max(pause, asked),
                pause: Math.min(MAXIMUM_PAUSE_MILLISECONDS, pause * 2),
            });
            return "later";
        },
        isReceiverAway: () => clock.now() < awayUntil,
    };
}
