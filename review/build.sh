#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. The nodes are built by the deploy file, into target/.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOTOOLCHAIN=local go build -o rig .
