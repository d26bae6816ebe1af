/** Validates requests of callers before anything is sent to an upstream. */
import { z } from "zod";
import { jsonDepth } from "../common/json.js";
import type { JobSubmission } from "../deferred/deferred.js";
import { createRejection } from "../verdict/verdict.js";
import type { RouterError } from "../verdict/verdict.js";
import type { CompletionBody } from "./reply.js";

/** Maximum timeout that a caller may request. */
export const MAXIMUM_TIMEOUT_MILLISECONDS = 24 * 60 * 60 * 1000;

/** Maximum length of a session id or idempotency key, in characters. */
export const MAXIMUM_IDENTIFIER_LENGTH = 256;

/** Maximum value of `max_tokens`. */
const MAXIMUM_TOKENS = 1_000_000;

const completionBodySchema = z
    .looseObject({
        model: z.string().min(1).max(128),
        stream: z.boolean().optional(),
        max_tokens: z.int().min(1).max(MAXIMUM_TOKENS).optional(),
        n: z.literal(1, { error: "only one choice per request is supported" }).optional(),
        messages: z
            .array(z.looseObject({ role: z.string(), content: z.unknown() }))
            .min(1)
            .optional(),
        prompt: z.union([z.string(), z.array(z.string()).min(1)]).optional(),
    })
    .refine(body => (body.messages === undefined) !== (body.prompt === undefined), {
        error: 'exactly one of "messages" and "prompt" is needed',
    });

/** Expected number of generated tokens when the caller sets no limit. */
export const DEFAULT_EXPECTED_TOKENS = 256;

const jobBodySchema = z.strictObject({
    /** Time by which the result is needed, for example `2026-12-05T06:00:00Z`. */
    deadline: z.iso.datetime({ offset: true, error: "must be a date and time such as 2026-12-05T06:00:00Z" }),
    endpoint: z.enum(["/v1/chat/completions", "/v1/completions"]).default("/v1/chat/completions"),
    /** Body of the completion request that the job runs. */
    request: z.looseObject({}),
});

/** Fields that only the router may set in a request to an engine. */
const RESERVED_FIELDS: readonly string[] = ["version", "continue_from"];

/**
 * Parses and validates the body of a completion request.
 *
 * @throws RouterError with status 400 that names the field.
 */
export function parseCompletionBody(text: string, chat: boolean, maximumDepth: number): CompletionBody {
    return checkCompletionBody(parseJson(text, maximumDepth), chat);
}

/** @throws RouterError with status 400 when the text is not valid JSON or is nested too deeply. */
function parseJson(text: string, maximumDepth: number): unknown {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (error) {
        throw createRejection(400, "invalid-json", `the body is not JSON: ${(error as Error).message}`);
    }
    if (jsonDepth(value, maximumDepth + 1) > maximumDepth) {
        throw createRejection(400, "json-too-deep", `the body is nested deeper than ${maximumDepth} levels`);
    }
    return value;
}

function invalidField(issue: z.core.$ZodIssue): RouterError {
    const field = issue.path.length === 0 ? "body" : issue.path.join(".");
    return createRejection(400, "invalid-request", `${field}: ${issue.message}`);
}

function checkCompletionBody(value: unknown, chat: boolean): CompletionBody {
    const result = completionBodySchema.safeParse(value);
    if (!result.success) {
        throw invalidField(result.error.issues[0]!);
    }
    const reserved = RESERVED_FIELDS.find(field => field in result.data);
    if (reserved !== undefined) {
        throw createRejection(400, "invalid-request", `${reserved}: this field is reserved`);
    }
    if ((result.data.messages !== undefined) !== chat) {
        throw createRejection(400, "invalid-request", `${chat ? "messages" : "prompt"}: is missing`);
    }
    return result.data as CompletionBody;
}

/**
 * Parses and validates the body of a request that submits a deferred job.
 *
 * @throws RouterError with status 400 that names the field.
 */
export function parseJobBody(
    workspace: string,
    text: string,
    maximumDepth: number,
    idempotencyKey: string | undefined,
): JobSubmission {
    const result = jobBodySchema.safeParse(parseJson(text, maximumDepth));
    if (!result.success) {
        throw invalidField(result.error.issues[0]!);
    }
    const { deadline, endpoint, request } = result.data;
    const body = checkCompletionBody(request, endpoint === "/v1/chat/completions");
    return {
        workspace,
        path: endpoint,
        body,
        deadlineAt: Date.parse(deadline),
        expectedTokens: body.max_tokens ?? DEFAULT_EXPECTED_TOKENS,
        idempotencyKey,
    };
}

/**
 * Parses the `Request-Timeout-Ms` header, in milliseconds. Returns undefined when the header is absent.
 *
 * @throws RouterError with status 400 when the value is not an integer within the limits.
 */
export function parseTimeout(header: string | undefined): number | undefined {
    if (header === undefined) {
        return undefined;
    }
    const value = Number(header);
    if (!Number.isInteger(value) || value < 1 || value > MAXIMUM_TIMEOUT_MILLISECONDS) {
        throw createRejection(
            400,
            "invalid-request",
            `Request-Timeout-Ms: read "${header.slice(0, 32)}", allowed: an integer from 1 to ${MAXIMUM_TIMEOUT_MILLISECONDS}`,
        );
    }
    return value;
}

/**
 * Validates a header that carries an identifier chosen by the caller.
 *
 * @throws RouterError with status 400 when it is empty or too long.
 */
export function parseIdentifier(name: string, header: string | undefined): string | undefined {
    if (header !== undefined && (header === "" || header.length > MAXIMUM_IDENTIFIER_LENGTH)) {
        throw createRejection(
            400,
            "invalid-request",
            `${name}: must have 1 to ${MAXIMUM_IDENTIFIER_LENGTH} characters`,
        );
    }
    return header;
}
