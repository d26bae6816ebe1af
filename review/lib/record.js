/** Record of a case: what was sent, answered and run, one line each. */
import { writeFileSync } from "node:fs";

export function createRecord(folder) {
    const lines = [];
    const startedAt = Date.now();
    return {
        note: (at, text) => lines.push({ at: at - startedAt, text }),
        now: text => lines.push({ at: Date.now() - startedAt, text }),
        write: () => {
            const text = lines
                .sort((a, b) => a.at - b.at)
                .map(({ at, text: line }) => `${(at / 1000).toFixed(3).padStart(9)} ${line}`)
                .join("\n");
            writeFileSync(new URL("record.txt", folder), `${text}\n`);
        },
    };
}
