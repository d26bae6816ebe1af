// Bundles the router node into one file, so that a start loads little and is short.
import { resolve } from "node:path";
import { build } from "esbuild";

// Packages of which only a part is bundled; the whole costs memory and start-up time on small VMs.
const slimPackages = {
    undici: resolve("scripts/slim/undici.cjs"),
    "hdr-histogram-js": resolve("scripts/slim/hdr-histogram-js.cjs"),
};

const slim = {
    name: "slim packages",
    setup: ({ onResolve }) => {
        onResolve({ filter: /^(undici|hdr-histogram-js)$/ }, ({ path }) => ({ path: slimPackages[path] }));
    },
};

await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/geraniumbarrow-router.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minify: true,
    legalComments: "none",
    plugins: [slim],
    // Bundled CommonJS libraries call require for the runtime's own modules.
    banner: {
        js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
    },
});
