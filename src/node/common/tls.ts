/** Certificates of a listener, read from files and reloaded when the files change. */
import { readFileSync, watchFile, unwatchFile } from "node:fs";
import type { Lifecycle } from "../lifecycle/lifecycle.js";

/** PEM contents as options of node:tls. */
export interface TlsMaterial {
    readonly cert: string;
    readonly key: string;
    /** Certificates that verify the remote end. */
    readonly ca: string;
}

export interface TlsSource {
    current(): TlsMaterial;
    /** Registers a function that is called after changed files have been loaded. */
    onChange(listener: () => void): void;
}

export interface TlsFiles {
    readonly certificateFile: string;
    readonly privateKeyFile: string;
}

/** Interval of checks for changed files. Polling also detects files that are replaced by a rename. */
const POLL_MILLISECONDS = 2000;

/** Creates the certificate source of a listener. Returns `undefined` when the settings name no files. */
export function createTlsSource(
    files: TlsFiles,
    lifecycle: Lifecycle,
    onError: (error: Error) => void,
): TlsSource | undefined {
    if (files.certificateFile === "") {
        return undefined;
    }
    const read = (): TlsMaterial => {
        const cert = readFileSync(files.certificateFile, "utf8");
        return { cert, key: readFileSync(files.privateKeyFile, "utf8"), ca: cert };
    };
    let material = read();
    const listeners: (() => void)[] = [];
    const reload = (): void => {
        try {
            material = read();
            listeners.forEach(listener => listener());
        }
        catch (error) {
            // Keep using the previous certificate until both files can be read.
            onError(error as Error);
        }
    };
    lifecycle.add({
        name: "certificate files",
        start: () => {
            const paths = [files.certificateFile, files.privateKeyFile];
            paths.forEach(path => watchFile(path, { interval: POLL_MILLISECONDS }, reload));
            return () => paths.forEach(path => unwatchFile(path, reload));
        },
    });
    return {
        current: () => material,
        onChange: listener => {
            listeners.push(listener);
        },
    };
}
