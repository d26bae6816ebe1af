/** Capacity of an upstream: concurrent requests, and the tokens that they hold in memory. */

export interface Quantity {
    readonly concurrency: number;
    readonly memoryTokens: number;
}

export const ZERO: Quantity = { concurrency: 0, memoryTokens: 0 };

export function add(a: Quantity, b: Quantity): Quantity {
    return { concurrency: a.concurrency + b.concurrency, memoryTokens: a.memoryTokens + b.memoryTokens };
}

/** Subtracts component by component; a negative result becomes 0. */
export function subtract(a: Quantity, b: Quantity): Quantity {
    return {
        concurrency: Math.max(0, a.concurrency - b.concurrency),
        memoryTokens: Math.max(0, a.memoryTokens - b.memoryTokens),
    };
}

/** Maximum of each component. */
export function maximum(a: Quantity, b: Quantity): Quantity {
    return {
        concurrency: Math.max(a.concurrency, b.concurrency),
        memoryTokens: Math.max(a.memoryTokens, b.memoryTokens),
    };
}

/** Minimum of each component. */
export function minimum(a: Quantity, b: Quantity): Quantity {
    return {
        concurrency: Math.min(a.concurrency, b.concurrency),
        memoryTokens: Math.min(a.memoryTokens, b.memoryTokens),
    };
}

export function isZero(a: Quantity): boolean {
    return a.concurrency === 0 && a.memoryTokens === 0;
}

/** Whether `a` fits into `b` in both components. */
export function fits(a: Quantity, b: Quantity): boolean {
    return a.concurrency <= b.concurrency && a.memoryTokens <= b.memoryTokens;
}
