/** Buffers that are used again, so that those of ended requests need not wait for the garbage collector. */

/** Length of a pooled buffer, bytes: about one read of a socket. */
export const SEGMENT_BYTES = 65_536;

export interface SegmentPool {
    take(): Buffer;
    release(segment: Buffer): void;
}

/** @param maximumIdle Number of unused buffers that are kept. */
export function createSegmentPool(maximumIdle: number): SegmentPool {
    const idle: Buffer[] = [];
    return {
        take: () => idle.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES),
        release: segment => {
            if (idle.length < maximumIdle) {
                idle.push(segment);
            }
        },
    };
}
