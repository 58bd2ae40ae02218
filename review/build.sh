#!/bin/sh
# The stand-ins of the cases are plain modules: nothing is compiled. Checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
