#!/usr/bin/env bash
# Builds the project's stand-ins, which the cases start, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent packages
npx --no-install tsc -p tsconfig.test.json
