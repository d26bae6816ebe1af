/** Entry point of a daemon with a baseline placement, for the latency scenario. */
import { createDaemon } from "../src/node/daemon/daemon.js";
import {
    createRoundRobinPlacement,
    placeLeastLoaded,
    placeRandomly,
} from "../src/node/placement/placement.js";
import type { PlacementFunction } from "../src/node/placement/placement.js";
import { readConfig } from "../src/node/settings/settings.js";

/** Baselines that the placement of the router is compared with. */
const PLACEMENTS: Readonly<Record<string, PlacementFunction>> = {
    random: placeRandomly,
    "round robin": createRoundRobinPlacement(),
    "least loaded": placeLeastLoaded,
};

const [placement, , settings] = process.argv.slice(2);
const daemon = createDaemon(readConfig(settings!), { placement: PLACEMENTS[placement!]! });
await daemon.start();
await new Promise<void>(resolve => process.once("SIGTERM", resolve));
await daemon.stop();
process.exit();
