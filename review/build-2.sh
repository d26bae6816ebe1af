#!/bin/sh
# Builds the stand-ins that the scripts of this review start: the project's store, compiled into dist/. The others are
# plain JavaScript. Needs the packages that the build line of the deploy file installs, and no network.
cd "$(dirname "$0")/.." || exit 2
exec npm run build
