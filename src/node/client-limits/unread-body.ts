/** Ends responses to requests whose bodies are not read to their end. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { hasBody } from "./body-reader.js";

/**
 * Limits for the rest of a body that is read and discarded. Closing a connection with unread bytes resets it, and the
 * client may then lose the response.
 */
const DISCARD_MILLISECONDS = 500;
const MAXIMUM_DISCARDED_BYTES = 256 * 1024;

/** Sends the body of a response, and ends the response when the request has ended or its rest exceeds a limit. */
export function endAfterRest(message: IncomingMessage, response: ServerResponse, body: string): void {
    const { socket } = message;
    const bytesAtStart = socket.bytesRead;
    const end = (): void => {
        clearTimeout(timer);
        message.off("data", onData);
        message.off("end", end);
        response.off("close", end);
        response.end();
    };
    const onData = (): void => {
        if (socket.bytesRead - bytesAtStart > MAXIMUM_DISCARDED_BYTES) {
            end();
        }
    };
    const timer = setTimeout(end, DISCARD_MILLISECONDS);
    message.on("data", onData);
    message.once("end", end);
    response.once("close", end);
    response.write(body);
}

/** Lets a response close its connection if the request has a body that was not read to its end. */
export function closeAfterBody(message: IncomingMessage, response: ServerResponse): void {
    if (hasBody(message) && !message.complete && !response.headersSent) {
        response.setHeader("connection", "close");
    }
}
