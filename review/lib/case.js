/** Runs a case: exit status 1 when the rule was broken, 0 when it held, 2 when the case could not run. */
import { clearTimeout, setTimeout } from "node:timers";
import { createDeployment } from "./deployment.js";
import { createRecord } from "./record.js";
import { createStore } from "./store.js";

const TIME_LIMIT_MILLISECONDS = 115_000;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_COULD_NOT_RUN = 2;

/**
 * @param folder URL of the case's folder, for its record.
 * @param play Plays the case and returns a line for each break of the rule.
 */
export async function runCase(folder, play) {
    const trouble = process.env.TROUBLE !== "0";
    const record = createRecord(folder);
    const store = createStore();
    const deployment = createDeployment(() => store.listen("127.0.0.1"));
    const runners = [];
    let exit = EXIT_COULD_NOT_RUN;
    const end = async () => {
        await deployment.stop();
        await Promise.all(runners.map(runner => runner.stop()));
        store.close();
        record.write();
    };
    const giveUp = reason => {
        record.now(`could not run: ${reason}`);
        console.error(reason);
        end().finally(() => process.exit(EXIT_COULD_NOT_RUN));
    };
    const timer = setTimeout(() => giveUp("the case took too long"), TIME_LIMIT_MILLISECONDS);
    process.once("SIGTERM", () => giveUp("ended from outside"));
    process.once("SIGINT", () => giveUp("ended from outside"));
    process.once("uncaughtException", error => giveUp(error.stack));
    try {
        const breaks = await play({ trouble, record, store, deployment, runners });
        breaks.forEach(line => record.now(`BROKEN ${line}`));
        exit = breaks.length > 0 ? EXIT_BROKEN : EXIT_HELD;
        console.log(breaks.length > 0 ? breaks.join("\n") : "the rule held");
    }
    catch (error) {
        record.now(`could not run: ${error.stack}`);
        console.error(error.message);
    }
    clearTimeout(timer);
    await end();
    process.exit(exit);
}
