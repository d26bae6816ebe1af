// Bundles the router node into one file, so that a start loads little and is short.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/geraniumbarrow-router.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifySyntax: true,
    // Bundled CommonJS libraries call require for the runtime's own modules.
    banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
});
