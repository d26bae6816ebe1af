/** Collects the events of a stream into one answer, for callers that do not stream and for rating answers. */
import { createParser } from "eventsource-parser";

export interface CollectedAnswer {
    /** @param events Complete events. */
    push(events: Buffer): void;
    /** Text generated so far. */
    text(): string;
    /** Id of the completion that the engine reported; empty before the first event. */
    id(): string;
}

interface CompletionEvent {
    readonly id?: string;
    readonly choices?: readonly {
        readonly text?: string;
        readonly delta?: { readonly content?: string };
    }[];
}

export function createCollectedAnswer(): CollectedAnswer {
    const parts: string[] = [];
    let id = "";
    const parser = createParser({
        onEvent: event => {
            const parsed = JSON.parse(event.data) as CompletionEvent;
            id = parsed.id ?? id;
            const choice = parsed.choices?.[0];
            parts.push(choice?.delta?.content ?? choice?.text ?? "");
        },
    });
    return {
        push: events => parser.feed(events.toString("utf8")),
        text: () => parts.join(""),
        id: () => id,
    };
}
