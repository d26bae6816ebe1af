/** Interface of the object store. */

export interface ObjectStore {
    /**
     * Creates an object unless one of that name exists.
     *
     * @throws OutsideServiceError whose `outcome` tells whether the object may have been created.
     */
    putIfAbsent(name: string, body: string): Promise<"created" | "exists">;
    /** Creates or replaces an object. @throws OutsideServiceError */
    put(name: string, body: string): Promise<void>;
    /** @throws OutsideServiceError */
    get(name: string): Promise<string | undefined>;
    /**
     * Lists names that start with `prefix` and are greater than `after`, in order; at most 1,000.
     *
     * @throws OutsideServiceError
     */
    list(prefix: string, after?: string): Promise<readonly string[]>;
}
