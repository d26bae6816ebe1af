/** Chooses the model version that a request runs on, among the versions that its workspace may use. */
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";
import { versionsPermittedByAll } from "../permission/permission.js";
import type { VersionReference } from "../permission/permission.js";
import { decideSession, sessionPoint } from "../sessions/sessions.js";
import type { RampingVersion } from "../sessions/sessions.js";
import type { SessionReference } from "./requests.js";

export interface VersionChoiceInput {
    /** All configurations that apply now; a version must be permitted by each of them. */
    readonly snapshots: readonly ConfigurationSnapshot[];
    readonly workspace: string;
    readonly model: string;
    /**
     * Model or cascade name in the request. It differs from `model` in a cascade, and when the request runs on a
     * model that the `spill` setting of the requested model lists.
     */
    readonly requestedName: string;
    readonly session: SessionReference;
    /** Version that produced the start of the answer, if the answer has begun. */
    readonly startedVersion: VersionReference | undefined;
    readonly ramping: RampingVersion | undefined;
    /** Whether a rollout withdrew a faulty version. A withdrawn version gets no new requests. */
    readonly isWithdrawn: (model: string, version: string) => boolean;
    /** Idle time after which a session counts as ended. */
    readonly sessionIdleMilliseconds: number;
    /** Milliseconds since the epoch. */
    readonly wallTime: number;
    /**
     * Random number in [0, 1). A request without a session gets the ramping version if this number is below
     * the share of that version.
     */
    readonly point: number;
    /** Version that a session is pinned to; `undefined` for none, `unknown` until it has been read. */
    readonly pinOf: (model: string, sessionId: string) => string | undefined | "unknown";
}

export type VersionChoice =
    | {
          readonly kind: "chosen";
          readonly version: string;
          /** Whether the session must be pinned to the version, or its pin extended. */
          readonly pin: boolean;
          /**
           * Whether the session changes to another version, because the version of its token (`session.hold`)
           * is no longer permitted or the version that it is pinned to (`pinOf`) was withdrawn.
           */
          readonly holdEnded: boolean;
      }
    /** No version of the model is permitted. */
    | { readonly kind: "none" }
    /** The pin of the session has not been read yet. */
    | { readonly kind: "undecided" };

export function chooseVersion(input: VersionChoiceInput): VersionChoice {
    const permitted = versionsPermittedByAll(
        input.snapshots,
        input.workspace,
        input.model,
        input.requestedName,
    ).filter(version => !input.isWithdrawn(input.model, version));
    if (input.startedVersion?.model === input.model) {
        return permitted.includes(input.startedVersion.version)
            ? { kind: "chosen", version: input.startedVersion.version, pin: false, holdEnded: false }
            : { kind: "none" };
    }
    const heldVersion = input.session.hold?.model === input.model ? input.session.hold.version : undefined;
    if (heldVersion !== undefined && permitted.includes(heldVersion)) {
        return { kind: "chosen", version: heldVersion, pin: false, holdEnded: false };
    }
    const baseline = input.snapshots[0]?.model.get(input.model)?.baseline;
    const fallback = baseline !== undefined && permitted.includes(baseline) ? baseline : permitted[0];
    if (fallback === undefined) {
        return { kind: "none" };
    }
    const holdEnded = heldVersion !== undefined;
    const { ramping } = input;
    if (ramping === undefined || !permitted.includes(ramping.version)) {
        return { kind: "chosen", version: fallback, pin: false, holdEnded };
    }
    if (input.session.id === undefined) {
        const version = input.point < ramping.share ? ramping.version : fallback;
        return { kind: "chosen", version, pin: false, holdEnded };
    }
    return chooseForSessionId(input, ramping, fallback, holdEnded);
}

function chooseForSessionId(
    input: VersionChoiceInput,
    ramping: RampingVersion,
    fallback: string,
    holdEnded: boolean,
): VersionChoice {
    const sessionId = input.session.id!;
    const point = sessionPoint(input.workspace, input.model, sessionId);
    const decision = decideSession(point, ramping.steps, input.sessionIdleMilliseconds, input.wallTime);
    switch (decision.kind) {
        case "decided":
            return {
                kind: "chosen",
                version: decision.version === "ramping" ? ramping.version : fallback,
                pin: false,
                holdEnded,
            };
        case "pin-baseline":
            return { kind: "chosen", version: fallback, pin: true, holdEnded };
        case "look-up-pin": {
            const pinnedVersion = input.pinOf(input.model, sessionId);
            if (pinnedVersion === "unknown") {
                return { kind: "undecided" };
            }
            if (pinnedVersion !== undefined && input.isWithdrawn(input.model, pinnedVersion)) {
                return { kind: "chosen", version: fallback, pin: false, holdEnded: true };
            }
            return {
                kind: "chosen",
                version: pinnedVersion ?? ramping.version,
                pin: pinnedVersion !== undefined,
                holdEnded,
            };
        }
    }
}
