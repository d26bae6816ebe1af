/**
 * All metrics of a node. The names omit the prefix `geraniumbarrow.`, which `createMetrics` adds. A test
 * checks that `docs/METRICS.md` lists the same metrics.
 */

export interface MetricDefinition {
    readonly name: string;
    readonly type: "counter" | "gauge" | "timing";
    readonly unit: "1" | "bytes" | "milliseconds";
    /** Tags of the metric in addition to those of every metric. */
    readonly tags: readonly string[];
}

export const METRICS = {
    requests: { name: "requests", type: "counter", unit: "1", tags: ["outcome"] },
    refusals: { name: "refusals", type: "counter", unit: "1", tags: ["code", "verdict"] },
    firstToken: {
        name: "requests.first_token",
        type: "timing",
        unit: "milliseconds",
        tags: ["target", "version"],
    },
    attempts: { name: "attempts", type: "counter", unit: "1", tags: [] },
    retries: { name: "retries", type: "counter", unit: "1", tags: [] },
    resumes: { name: "resumes", type: "counter", unit: "1", tags: [] },
    lateAnswers: { name: "answers.late", type: "counter", unit: "1", tags: [] },
    crossedAnswers: { name: "answers.crossed", type: "counter", unit: "1", tags: [] },
    queueLength: { name: "queue.length", type: "gauge", unit: "1", tags: [] },
    streamBufferBytes: { name: "streams.buffered_bytes", type: "gauge", unit: "bytes", tags: [] },
    configurationRevision: { name: "configuration.revision", type: "gauge", unit: "1", tags: [] },
    configurationAge: { name: "configuration.freshness_age", type: "gauge", unit: "milliseconds", tags: [] },
    members: { name: "members", type: "gauge", unit: "1", tags: ["state"] },
    peersSentBytes: { name: "peers.sent_bytes", type: "counter", unit: "bytes", tags: [] },
    peersReceivedBytes: { name: "peers.received_bytes", type: "counter", unit: "bytes", tags: [] },
    admissionAllowed: { name: "admission.allowed", type: "gauge", unit: "1", tags: [] },
    admissionInUse: { name: "admission.in_use", type: "gauge", unit: "1", tags: [] },
    admissionWaiting: { name: "admission.waiting", type: "gauge", unit: "1", tags: [] },
    admissionOwned: { name: "admission.owned", type: "gauge", unit: "1", tags: [] },
    admissionOwnedCold: { name: "admission.owned_cold", type: "gauge", unit: "1", tags: [] },
    admissionOverBudget: { name: "admission.owned_over_budget", type: "gauge", unit: "1", tags: [] },
    admissionSilent: { name: "admission.silent", type: "gauge", unit: "1", tags: [] },
    admissionFailedCalls: { name: "admission.failed_calls", type: "counter", unit: "1", tags: [] },
    claimTransaction: { name: "claims.transaction", type: "timing", unit: "milliseconds", tags: [] },
    claimTransactions: { name: "claims.transactions", type: "counter", unit: "1", tags: ["result"] },
    claimResults: { name: "claims.results", type: "counter", unit: "1", tags: ["kind"] },
    claimEnds: { name: "claims.ends", type: "counter", unit: "1", tags: ["end"] },
    claimSubmitFailures: { name: "claims.submitFailures", type: "counter", unit: "1", tags: [] },
    claimsSwept: { name: "claims.swept", type: "counter", unit: "1", tags: [] },
    billStore: { name: "billing.store", type: "timing", unit: "milliseconds", tags: [] },
    billStoreCalls: { name: "billing.storeCalls", type: "counter", unit: "1", tags: ["call", "result"] },
    billCopy: { name: "billing.copy", type: "timing", unit: "milliseconds", tags: [] },
    billCopies: { name: "billing.copies", type: "counter", unit: "1", tags: ["result"] },
    billsUnwrittenBytes: { name: "billing.unwrittenBytes", type: "gauge", unit: "bytes", tags: [] },
    billCopyBytes: { name: "billing.copyBytes", type: "gauge", unit: "bytes", tags: [] },
    ordersSent: { name: "orders.sent", type: "counter", unit: "1", tags: ["outcome"] },
    invariantViolations: { name: "invariants.violations", type: "counter", unit: "1", tags: ["invariant"] },
} as const satisfies Readonly<Record<string, MetricDefinition>>;
