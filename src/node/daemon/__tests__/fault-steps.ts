/** Steps of a fault simulation and the generator of random steps. */
import fc from "fast-check";

export type FaultStep =
    | {
          readonly kind: "complete";
          readonly node: number;
          readonly target: number;
          readonly stream: boolean;
          readonly tokens: number;
          readonly session: number;
      }
    | { readonly kind: "book"; readonly node: number; readonly key: number }
    | { readonly kind: "ticket"; readonly node: number; readonly change: number; readonly old: boolean }
    | { readonly kind: "pass"; readonly milliseconds: number }
    | { readonly kind: "kill"; readonly node: number }
    | { readonly kind: "stop"; readonly node: number }
    | { readonly kind: "start" }
    | { readonly kind: "pause"; readonly node: number; readonly milliseconds: number }
    | { readonly kind: "cut"; readonly nodes: number }
    | { readonly kind: "cut-platform"; readonly nodes: number }
    | { readonly kind: "heal-network" }
    | { readonly kind: "table"; readonly down: boolean; readonly loses: number }
    | { readonly kind: "store"; readonly down: boolean; readonly loses: number }
    | {
          readonly kind: "upstream";
          readonly upstream: number;
          readonly fault: "restart" | "down" | "up" | "breaks" | "crosses" | "truncates";
      };

const nodeArbitrary = fc.nat(7);

export const stepArbitrary: fc.Arbitrary<FaultStep> = fc.oneof(
    {
        weight: 12,
        arbitrary: fc.record({
            kind: fc.constant("complete" as const),
            node: nodeArbitrary,
            target: fc.nat(2),
            stream: fc.boolean(),
            tokens: fc.integer({ min: 1, max: 30 }),
            session: fc.nat(5),
        }),
    },
    {
        weight: 6,
        arbitrary: fc.record({ kind: fc.constant("book" as const), node: nodeArbitrary, key: fc.nat(9) }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("ticket" as const),
            node: nodeArbitrary,
            change: fc.nat(5),
            old: fc.boolean(),
        }),
    },
    {
        weight: 12,
        arbitrary: fc.record({
            kind: fc.constant("pass" as const),
            milliseconds: fc.integer({ min: 10, max: 1500 }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("kill" as const), node: nodeArbitrary }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("stop" as const), node: nodeArbitrary }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("start" as const) }) },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("pause" as const),
            node: nodeArbitrary,
            milliseconds: fc.integer({ min: 100, max: 15_000 }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("cut" as const), nodes: fc.nat(31) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("cut-platform" as const), nodes: fc.nat(31) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("heal-network" as const) }) },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("table" as const), down: fc.boolean(), loses: fc.nat(4) }),
    },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("store" as const), down: fc.boolean(), loses: fc.nat(4) }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("upstream" as const),
            upstream: fc.nat(7),
            fault: fc.constantFrom("restart", "down", "up", "breaks", "crosses", "truncates"),
        }),
    },
);
