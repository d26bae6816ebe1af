/** Lists the scenarios of the bench tool. */
import type { Scenario } from "../scenario.js";
import { admissionScenario } from "./admission.js";
import { claimsScenario } from "./claims.js";
import { configuration } from "./configuration.js";
import { configurationDaemons } from "./configuration-daemons.js";
import { cost } from "./cost.js";
import { dataCentre } from "./data-centre.js";
import { decisionScenario } from "./decision.js";
import { exposure } from "./exposure.js";
import { fencing } from "./fencing.js";
import { latency } from "./latency.js";
import { nodeCost } from "./node-cost.js";
import { overhead } from "./overhead.js";
import { recovery } from "./recovery.js";
import { slowReaders } from "./slow-readers.js";

export const scenarios: readonly Scenario[] = [
    overhead,
    latency,
    cost,
    exposure,
    admissionScenario,
    claimsScenario,
    slowReaders,
    configuration,
    configurationDaemons,
    dataCentre,
    recovery,
    decisionScenario,
    fencing,
    nodeCost,
];
