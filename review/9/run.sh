#!/bin/sh
# Lets one upstream of seven send bodies without end. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/fleet2 ] || exit 2
exec target/fleet2 endless review/9
