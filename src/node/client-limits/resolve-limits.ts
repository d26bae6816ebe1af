/**
 * Derives the limits for clients from the memory and the file descriptors of the VM. Designed for VMs of 178 to 602 MB
 * and 2,212 to 10,250 descriptors, and a JavaScript heap of 64 MB on all of them.
 */
import type { HeldBytes } from "./caller-budget.js";

export interface ClientLimitSettings {
    readonly memoryMegabytes: number;
    readonly fileDescriptors: number;
}

export interface ResolvedClientLimits {
    /** Bytes that may be held for all clients together. */
    readonly heldBytes: HeldBytes;
    readonly callerConnections: number;
    readonly handoverConnections: number;
    readonly peerConnections: number;
    /** Connections to each listener that only monitoring uses. */
    readonly monitoringConnections: number;
}

const MEGABYTE = 1024 * 1024;

/**
 * Resident memory of a process that holds nothing for clients and whose heap is in normal use, megabytes. Measured:
 * 113 to 118 at the start, unbundled.
 */
const PROGRAM_MEGABYTES = 120;

/**
 * Share of the memory beyond the program for buffers. The rest is for the heap, which may grow by 40 MB, and for
 * garbage. With 0.35, large open bodies took up to 174 MB of 178 in one of five runs.
 */
const BUFFER_MEMORY_SHARE = 0.27;

/** Bytes of buffers on the smallest VMs: four bodies of the largest size. */
const MINIMUM_BUFFER_BYTES = 16 * MEGABYTE;

/** Part of the heap that the program itself uses, bytes. */
const PROGRAM_HEAP_BYTES = 28 * MEGABYTE;

/** Share of the rest of the heap for objects held for clients. Garbage and idle connections use the other part. */
const OBJECT_HEAP_SHARE = 0.5;

const MINIMUM_OBJECT_BYTES = 8 * MEGABYTE;

/** Heap of an idle connection, bytes, and the share of the heap that all idle connections may use. */
const IDLE_CONNECTION_BYTES = 8 * 1024;
const IDLE_HEAP_SHARE = 0.4;

/** Descriptors for files. */
const FILE_DESCRIPTORS_OF_FILES = 200;

/** Descriptors for calls to the store and to other nodes, and for both listeners of monitoring. */
const RESERVED_DESCRIPTORS = 80;

/** Connections to each of the listeners for readiness and metrics. */
const MONITORING_CONNECTIONS = 16;

/** Smallest number of connections to a listener, whatever the settings say. */
const MINIMUM_CONNECTIONS = 8;

/**
 * Shares of the descriptors that are left. Each running request has one connection to an upstream, so as many stay for
 * upstreams as callers and other nodes may use, and a tenth for idle connections to upstreams.
 */
const CALLER_SHARE = 0.3;
const HANDOVER_SHARE = 0.09;
const PEER_SHARE = 0.12;

/** @param heapBytes Limit of the JavaScript heap. */
export function resolveClientLimits(settings: ClientLimitSettings, heapBytes: number): ResolvedClientLimits {
    const bufferMegabytes = (settings.memoryMegabytes - PROGRAM_MEGABYTES) * BUFFER_MEMORY_SHARE;
    const freeHeapBytes = Math.max(0, heapBytes - PROGRAM_HEAP_BYTES);
    const descriptors = settings.fileDescriptors - FILE_DESCRIPTORS_OF_FILES - RESERVED_DESCRIPTORS;
    const mostInHeap = (freeHeapBytes * IDLE_HEAP_SHARE) / IDLE_CONNECTION_BYTES;
    const connections = (share: number): number => {
        const inHeap = (mostInHeap * share) / (CALLER_SHARE + HANDOVER_SHARE + PEER_SHARE);
        return Math.max(MINIMUM_CONNECTIONS, Math.floor(Math.min(descriptors * share, inHeap)));
    };
    return {
        heldBytes: {
            buffers: Math.max(MINIMUM_BUFFER_BYTES, bufferMegabytes * MEGABYTE),
            objects: Math.max(MINIMUM_OBJECT_BYTES, freeHeapBytes * OBJECT_HEAP_SHARE),
        },
        callerConnections: connections(CALLER_SHARE),
        handoverConnections: connections(HANDOVER_SHARE),
        peerConnections: connections(PEER_SHARE),
        monitoringConnections: MONITORING_CONNECTIONS,
    };
}
