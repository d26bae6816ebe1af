import eslint from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "node_modules/**", "target/**", "journal/**"] },
    eslint.configs.recommended,
    ...tseslint.configs.strict,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "no-restricted-syntax": [
                "error",
                {
                    selector: "ExportDefaultDeclaration",
                    message: "Use named exports.",
                },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                {
                    selector: "interface",
                    format: ["PascalCase"],
                    custom: { regex: "^I[A-Z]", match: false },
                },
                { selector: "typeLike", format: ["PascalCase"] },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/no-invalid-void-type": "off",
            quotes: ["error", "double", { avoidEscape: true }],
        },
    },
    {
        // node:test registers tests through promises that the runner awaits itself.
        files: ["**/*.spec.ts"],
        rules: { "@typescript-eslint/no-floating-promises": "off" },
    },
    {
        files: ["**/*.js"],
        ...tseslint.configs.disableTypeChecked,
        languageOptions: { globals: { process: "readonly", console: "readonly", URL: "readonly" } },
    },
    {
        files: ["**/*.cjs"],
        ...tseslint.configs.disableTypeChecked,
        languageOptions: { globals: { require: "readonly", exports: "writable", URL: "readonly" } },
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
);
