#!/bin/sh
# Exits with 1 if a request in the queue of an engine got no answer because of a planned stop, 0 if each got one, 2 if the case could not run. TROUBLE=0: without the stop.
cd "$(dirname "$0")/../.." || exit 2
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
[ -x target/release/boragecoved ] && [ -x target/review-2/review-2 ] || exit 2
target/review-2/review-2 cut-queue review/9 "$scratch"
