#!/bin/sh
# Lets clients of an unsafe route leave while many users come at once. Needs the build of the deploy file
# and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/fleet2 ] || exit 2
exec target/fleet2 gone review/10
