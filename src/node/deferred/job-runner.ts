/** Runs a deferred job through dispatch, as a request without a caller's connection. */
import type { Bill } from "../billing/billing.js";
import type { CallerReply, CompletionBody, CompletionSubmission } from "../callers/reply.js";
import type { JobRunResult } from "./deferred.js";
import type { JobRow } from "./jobs.js";

const HTTP_TOO_MANY_REQUESTS = 429;

/** Timeout of a run, for both the queue and the generation; the deadline of the job may be later. */
const RUN_TIMEOUT_MILLISECONDS = 60 * 60 * 1000;

interface ResponseBody {
    readonly error?: { readonly message?: string };
    readonly usage?: { readonly total_tokens?: number };
}

export function createJobRunner(
    submit: (submission: CompletionSubmission, reply: CallerReply) => void,
): (job: JobRow, urgent: boolean) => Promise<JobRunResult> {
    return (job, urgent) =>
        new Promise(resolve => {
            let bill: Bill | undefined;
            let status = 0;
            const reply: CallerReply = {
                head: headStatus => {
                    status = headStatus;
                },
                write: () => true,
                end: chunk => resolve(resultOf(status, String(chunk ?? ""), bill)),
                onDrain: () => undefined,
                onDisconnect: () => undefined,
            };
            submit(
                {
                    kind: "completion",
                    workspace: job.workspace,
                    path: job.path,
                    body: { ...(JSON.parse(job.body) as CompletionBody), stream: false },
                    sessionId: undefined,
                    sessionToken: undefined,
                    timeoutMilliseconds: RUN_TIMEOUT_MILLISECONDS,
                    job: {
                        urgent,
                        onBill: jobBill => {
                            bill = jobBill;
                        },
                    },
                },
                reply,
            );
        });
}

function resultOf(status: number, text: string, bill: Bill | undefined): JobRunResult {
    const body = JSON.parse(text) as ResponseBody;
    if (status === 200 && bill !== undefined) {
        return { kind: "done", body: text, bill, tokens: body.usage?.total_tokens ?? 0 };
    }
    const reason = body.error?.message ?? `status ${status}`;
    // The request itself causes a status from 400 to 499, so a further run would end the same way.
    const isPermanent = status >= 400 && status < 500 && status !== HTTP_TOO_MANY_REQUESTS;
    return { kind: isPermanent ? "rejected" : "failed", reason };
}
