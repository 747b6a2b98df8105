#!/usr/bin/env bash
# Exits with 1 if an engine was ordered to load more than its weights_mb, 0 if not, 2 if the case could not
# run. TROUBLE=0 leaves out the move of the demand to another model.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/oleanderstall ] && [ -x target/reviewer ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
exec target/reviewer adapters review/2
