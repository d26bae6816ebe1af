/**
 * Lifecycle manager: starts the components of a process in order and stops them in reverse order.
 */

/**
 * Stops a component. If it fails, the error names the component, and the other components are still stopped.
 */
export type StopFunction = () => void | Promise<void>;

export interface Component {
    /** Name in logs and errors. */
    readonly name: string;
    /** Starts the component. Returns the function that stops it, if it must be stopped. */
    readonly start: () => StopFunction | undefined | void | Promise<StopFunction | undefined | void>;
}

export interface Lifecycle {
    /**
     * Appends a component.
     *
     * @throws Error if `start` was called before.
     */
    add(component: Component): void;
    /**
     * Starts all components in order. If one fails, stops the started ones in reverse order.
     *
     * @throws ComponentError that names the component that failed.
     */
    start(): Promise<void>;
    /**
     * Stops all started components in reverse order. Further calls return the same promise.
     *
     * @throws AggregateError of ComponentErrors, after the stop function of every component was called.
     */
    stop(): Promise<void>;
    /** Names of the running components in start order. */
    running(): readonly string[];
}

/** A component failed to start or to stop. */
export class ComponentError extends Error {
    constructor(
        readonly component: string,
        readonly phase: "start" | "stop",
        cause: unknown,
    ) {
        super(
            `component "${component}" failed to ${phase}: ${cause instanceof Error ? cause.message : String(cause)}`,
            {
                cause,
            },
        );
        this.name = "ComponentError";
    }
}

interface RunningComponent {
    readonly name: string;
    readonly stop: StopFunction | undefined;
}

export function createLifecycle(): Lifecycle {
    const components: Component[] = [];
    const started: RunningComponent[] = [];
    let stopping: Promise<void> | undefined;
    let startCalled = false;

    const stopAll = async (): Promise<void> => {
        const errors: ComponentError[] = [];
        for (let component = started.pop(); component !== undefined; component = started.pop()) {
            try {
                await component.stop?.();
            }
            catch (error) {
                errors.push(new ComponentError(component.name, "stop", error));
            }
        }
        if (errors.length > 0) {
            throw new AggregateError(errors, errors.map(error => error.message).join("; "));
        }
    };

    return {
        add: component => {
            if (startCalled) {
                throw new Error(`component "${component.name}" was added after the start`);
            }
            components.push(component);
        },
        start: async () => {
            startCalled = true;
            for (const component of components) {
                try {
                    const stop = (await component.start()) ?? undefined;
                    started.push({ name: component.name, stop });
                }
                catch (error) {
                    await stopAll().catch(() => undefined);
                    throw new ComponentError(component.name, "start", error);
                }
            }
        },
        stop: () => (stopping ??= stopAll()),
        running: () => started.map(component => component.name),
    };
}
