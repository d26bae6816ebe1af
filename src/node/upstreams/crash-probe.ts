/** Tells the crash of an upstream from the end of an answer that only the end of its connection marks. */
import { delay } from "../common/clock.js";
import { probeAddress } from "../handover/reachability.js";

/** Time after the end of a connection for which an upstream that crashes may still accept others, milliseconds. */
const CRASH_SETTLE_MILLISECONDS = 50;

const DEFAULT_PORTS: Readonly<Record<string, string>> = { "http:": "80", "https:": "443" };

/**
 * Whether no process listens at the upstream's address any more.
 *
 * @param address Base URL of the upstream.
 */
export async function hasCrashed(address: string): Promise<boolean> {
    const { hostname, port, protocol } = new URL(address);
    await delay(CRASH_SETTLE_MILLISECONDS);
    const host = hostname.replace(/^\[|\]$/g, "");
    return (await probeAddress(`${host}:${port || DEFAULT_PORTS[protocol]}`)) === "refused";
}
