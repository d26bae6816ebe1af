// Bundles the router node into one file: loading less code shortens its start.
import { resolve } from "node:path";
import { build } from "esbuild";

// Entry points that import only the used parts of a package; the whole packages cost memory and start-up time
// on small VMs.
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
    // Bundled CommonJS packages call require for built-in modules, which an ES module does not define.
    banner: {
        js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
    },
});
