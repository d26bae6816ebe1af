/** Interfaces through which the other components of a node use the configuration. */
import type { ConfigurationSnapshot } from "./snapshot.js";
import type { Ticket } from "./entities.js";

export interface ConfigurationView {
    /** Configuration in force at this node. */
    current(): ConfigurationSnapshot;
    /**
     * Snapshots that must all permit new work: the one in force, and one for each prepared ticket of the next
     * revision whose outcome is unknown.
     */
    governing(): readonly ConfigurationSnapshot[];
    /**
     * Whether new work may be admitted: this node has every ticket that was accepted up to
     * `limits.freshnessMilliseconds` before `now`.
     */
    isFresh(now: number): boolean;
}

/** Outcome of `ticket apply`; `unknown` when neither acceptance nor rejection is certain. */
export type TicketOutcome =
    | { readonly kind: "accepted"; readonly revision: number }
    | {
          readonly kind: "refused";
          readonly reason: "invalid" | "number-reused" | "superseded" | "unavailable" | "conflict";
          readonly detail: string;
      }
    | { readonly kind: "unknown"; readonly detail: string };

export interface TicketProposer {
    /** Proposes a ticket. Idempotent: a repeated ticket that was accepted resolves with its revision. */
    apply(ticket: Ticket): Promise<TicketOutcome>;
    /** Lists the reasons for which the ticket would be rejected now; empty when there are none. */
    check(ticket: Ticket): readonly string[];
}
