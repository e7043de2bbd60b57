#!/bin/sh
# The stand-ins of cases 6, 7, 8 and 10 and of long-ids are plain JavaScript and need no build; checks that each can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 10/*.mjs long-ids/*.mjs; do
  node --check "$file"
done
