/** Guards against connections that stay open because they are reset while they are ending. */
import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { resetConnection } from "../reset-connection.js";

test(
    "a reset of a connection that is ending closes it without an error",
    { timeout: 5000 },
    async context => {
        const errors: string[] = [];
        let accepted: Socket | undefined;
        const server = createServer(socket => {
            accepted = socket;
            socket.on("error", error => errors.push(error.message));
            socket.write("x");
            socket.end();
            resetConnection(socket);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        context.after(() => server.close());
        const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
        client.on("error", () => undefined);
        client.resume();
        await new Promise(resolve => client.on("close", resolve));
        assert.equal(accepted?.destroyed, true);
        assert.deepEqual(errors, []);
        assert.deepEqual(
            process.getActiveResourcesInfo().filter(name => name === "TCPSocketWrap"),
            [],
        );
    },
);
