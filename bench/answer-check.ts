/** Checks that an answer in the OpenAI format is whole. */
import { createParser } from "eventsource-parser";
import { z } from "zod";

const choiceSchema = z.object({
    delta: z.object({ content: z.string().nullish() }).optional(),
    message: z.object({ content: z.string().nullish() }).optional(),
    text: z.string().optional(),
    finish_reason: z.string().nullish(),
});

const answerSchema = z.object({
    id: z.string().optional(),
    /** Empty in the last chunk of a stream, which may carry only the usage. */
    choices: z.array(choiceSchema),
});

const END_OF_STREAM = "[DONE]";

export type StreamResult =
    | { readonly kind: "whole"; readonly text: string }
    /** The stream contains an error event. */
    | { readonly kind: "error"; readonly detail: string }
    /** The stream ended without an error event and is not whole. */
    | { readonly kind: "incomplete"; readonly detail: string };

export interface StreamCheck {
    feed(text: string): void;
    /** Finishes the check; call it when the connection ended without an error. */
    end(): StreamResult;
}

/**
 * Creates a check of one SSE stream. A whole stream has chunks of one answer, one finish reason, and `[DONE]`
 * as its last event.
 *
 * @param onToken Called for each chunk that contains text.
 */
export function createStreamCheck(onToken: () => void): StreamCheck {
    let text = "";
    let id: string | undefined;
    let finishReason: string | undefined;
    let isDone = false;
    let failure: StreamResult | undefined;

    const markIncomplete = (detail: string): void => {
        failure ??= { kind: "incomplete", detail };
    };

    const readChunk = (data: string): void => {
        const value = JSON.parse(data) as Record<string, unknown>;
        if (value.error !== undefined) {
            failure ??= { kind: "error", detail: JSON.stringify(value.error) };
            return;
        }
        const chunk = answerSchema.parse(value);
        if (id !== undefined && chunk.id !== undefined && chunk.id !== id) {
            markIncomplete(`chunks of two answers, ${id} and ${chunk.id}`);
        }
        id ??= chunk.id;
        const choice = chunk.choices[0];
        const content = choice?.delta?.content ?? choice?.text ?? "";
        if (content !== "" && finishReason !== undefined) {
            markIncomplete("text after the finish reason");
        }
        finishReason ??= choice?.finish_reason ?? undefined;
        if (content !== "") {
            text += content;
            onToken();
        }
    };

    const parser = createParser({
        onEvent: event => {
            if (isDone) {
                markIncomplete("an event after the end of the stream");
                return;
            }
            if (event.data === END_OF_STREAM) {
                isDone = true;
                return;
            }
            try {
                readChunk(event.data);
            }
            catch (error) {
                markIncomplete(`an invalid chunk: ${(error as Error).message}`);
            }
        },
    });

    return {
        feed: chunk => parser.feed(chunk),
        end: () => {
            if (failure !== undefined) {
                return failure;
            }
            if (!isDone || finishReason === undefined) {
                const missing = isDone ? "finish reason" : "end of the stream";
                return { kind: "incomplete", detail: `the ${missing} is missing` };
            }
            return { kind: "whole", text };
        },
    };
}

/** Describes the first problem of a JSON completion; `undefined` when it is whole. */
export function findAnswerProblem(body: string): string | undefined {
    let value: unknown;
    try {
        value = JSON.parse(body);
    }
    catch (error) {
        return `the answer is not JSON: ${(error as Error).message}`;
    }
    const parsed = answerSchema.safeParse(value);
    if (!parsed.success) {
        return `the answer is not a completion: ${parsed.error.message}`;
    }
    const finish = parsed.data.choices[0]?.finish_reason ?? undefined;
    return finish === undefined ? "the finish reason is missing" : undefined;
}
