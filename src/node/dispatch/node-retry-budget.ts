/**
 * Retry budget of a node: limits retries to a share of the accepted requests, so that retries cannot multiply
 * the load during an overload. Unlike the budget in `forwarding/`, it covers all services and models
 * together.
 */
import { INITIAL_RETRY_BUDGET, MAXIMUM_RETRY_BUDGET } from "./constants.js";

export interface NodeRetryBudget {
    /** Adds the share of one request. */
    deposit(): void;
    /** Takes one retry; returns false if less than one is left. */
    tryWithdraw(): boolean;
    /** Retries left, may be fractional. */
    balance(): number;
}

/** @param share Retries allowed per request, 0 to 1. */
export function createNodeRetryBudget(share: number): NodeRetryBudget {
    let balance = INITIAL_RETRY_BUDGET;
    return {
        deposit: () => {
            balance = Math.min(MAXIMUM_RETRY_BUDGET, balance + share);
        },
        tryWithdraw: () => {
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        },
        balance: () => balance,
    };
}
