// Sets the executable bit on the bin entries: `npm link` and `npx` need it, and tsc does not set it.
import { chmodSync } from "node:fs";

for (const file of ["dist/src/node/daemon/main.js", "dist/src/node/command-line/main.js"]) {
    try {
        chmodSync(file, 0o755);
    }
    catch (error) {
        if (error.code !== "ENOENT") {
            throw error;
        }
    }
}
