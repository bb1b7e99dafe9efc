#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10.
cd "$(dirname "$0")/fleet2" || exit 2
GOWORK=off exec go build -o ../../target/fleet2 .
