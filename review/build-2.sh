#!/bin/bash
# The stand-ins of cases 4 to 8 are plain modules: nothing is compiled; checks that they parse.
set -e
cd "$(dirname "$0")"
for module in lib-2/*.mjs 4/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs; do node --check "$module"; done
