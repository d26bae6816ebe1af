/** Fixtures for the tests of the upstream table and the upstream choice. */
import { NO_LOAD } from "../load-board.js";
import type { Load } from "../load-board.js";
import type { ChoiceContext } from "../upstream-choice.js";
import { createUpstreamHealth } from "../upstream-health.js";
import { processOf } from "../upstream-table.js";
import type { RegisteredUpstream, UpstreamEntry } from "../upstream-table.js";

export function createEntry(id: string, overrides: Partial<UpstreamEntry> = {}): UpstreamEntry {
    return {
        id,
        service: "engines",
        address: "127.0.0.1:1",
        dataCentre: "patio",
        version: "v1",
        leaving: false,
        slots: 8,
        coldMilliseconds: 0,
        startedAt: 1,
        ...overrides,
    };
}

export function createTestUpstream(
    id: string,
    overrides: Partial<UpstreamEntry> = {},
    coldUntil = 0,
): RegisteredUpstream {
    const entry = createEntry(id, overrides);
    return {
        entry,
        process: processOf(entry),
        coldUntil,
        health: createUpstreamHealth(),
        recentSends: [],
    };
}

export function createContext(overrides: Partial<ChoiceContext> = {}): ChoiceContext {
    return {
        now: 10_000,
        affinityKey: undefined,
        sharedTokens: 0,
        neededTokens: 0,
        capacityTokens: undefined,
        loadOf: () => NO_LOAD,
        ejectionsOf: () => 0,
        versionPreference: undefined,
        excluded: new Set(),
        coldAllowance: () => Infinity,
        hasRoom: () => true,
        random: () => 0,
        ...overrides,
    };
}

/** Builds `loadOf` from loads by upstream id; other upstreams have no load. */
export function loadsOf(loads: Readonly<Record<string, Partial<Load>>>): ChoiceContext["loadOf"] {
    return upstream => ({ ...NO_LOAD, ...loads[upstream.entry.id] });
}
