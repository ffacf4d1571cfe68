#!/bin/sh
# Builds what the scripts of cases 4 to 8 start besides the program itself. Their stand-ins are plain modules of Node.js
# (review/lib2), so there is nothing to compile: this only checks that each of them can be parsed.
set -eu
cd "$(dirname "$0")"
for file in lib2/*.mjs [4-8]/*.mjs; do node --check "$file"; done
