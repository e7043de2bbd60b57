#!/bin/sh
# The stand-ins are plain JavaScript and need no build; checks that each can be parsed.
set -e
cd "$(dirname "$0")"
for file in */*.mjs; do
  node --check "$file"
done
