#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript and need no build; this checks that Node.js can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js */run.js; do
    node --check "$file"
done
