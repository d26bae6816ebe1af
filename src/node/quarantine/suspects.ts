/**
 * What can be blamed for crashes of upstreams: the shared parts of a prompt, and the request itself. A part is a
 * suspect of its own for crashes after the first event of an answer, because other answers clear it of these.
 */
import { hash64 } from "../common/hash.js";

export interface Suspect {
    readonly id: string;
    /** Position in the prompt; a suspect that fewer requests share has a higher one. */
    readonly position: number;
}

export type SuspectKind = "prompt part" | "request";

/** Precedes the fingerprint of a request. Ids of prompt parts never begin with it. */
const REQUEST_PREFIX = "request:";

/** Precedes a prompt part that is suspected of crashes within answers. Ids of prompt parts never begin with it. */
const WITHIN_ANSWER_PREFIX = "answer:";

/** Ids of prompt parts that are used as they are. Others are replaced by a hash, which also bounds their size. */
const PLAIN_PART_ID = /^[\w.-]{1,32}$/;

/** Position of the request itself: no other request shares it. */
const REQUEST_POSITION = 1_000_000;

/** Suspects among the parts of a prompt: all but the last, which belongs to the request itself. */
export function sharedPartsOf(promptParts: readonly { readonly id: string }[]): readonly Suspect[] {
    return promptParts.slice(0, -1).map(({ id }, position) => ({
        id: PLAIN_PART_ID.test(id) ? id : hash64(id).toString(36),
        position,
    }));
}

/** @param fingerprint The same for all copies of the request. */
export function requestSuspectOf(fingerprint: string): Suspect {
    return { id: `${REQUEST_PREFIX}${fingerprint}`, position: REQUEST_POSITION };
}

export function kindOfSuspect(id: string): SuspectKind {
    return id.startsWith(REQUEST_PREFIX) ? "request" : "prompt part";
}

/** Suspects of a crash after the first event of an answer to a prompt with these parts. */
export function withinAnswer(parts: readonly Suspect[]): readonly Suspect[] {
    return parts.map(({ id, position }) => ({ id: `${WITHIN_ANSWER_PREFIX}${id}`, position }));
}

/** A request or its prompt parts, with the suspects that stand for the parts within answers. */
export function withAnswerSuspects(suspects: readonly Suspect[]): readonly Suspect[] {
    return [...suspects, ...withinAnswer(suspects.filter(({ id }) => kindOfSuspect(id) === "prompt part"))];
}

export function isWithinAnswer(id: string): boolean {
    return id.startsWith(WITHIN_ANSWER_PREFIX);
}

/** Id of the request or prompt part that a suspect stands for. */
export function subjectOf(id: string): string {
    return isWithinAnswer(id) ? id.slice(WITHIN_ANSWER_PREFIX.length) : id;
}

/** Fields of a log line about a suspect. */
export function describeSuspect(id: string): Readonly<Record<string, string>> {
    return kindOfSuspect(id) === "request"
        ? { fingerprint: id.slice(REQUEST_PREFIX.length) }
        : { promptPart: subjectOf(id) };
}
