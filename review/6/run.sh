#!/bin/sh
# Lets the upstreams of a service in one zone return cold while some of their answers come a second time. Needs the build of the deploy
# file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/fleet2 ] || exit 2
exec target/fleet2 cold-extra review/6
