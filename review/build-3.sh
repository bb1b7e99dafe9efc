#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15.
cd "$(dirname "$0")/fleet3" || exit 2
GOWORK=off exec go build -o ../../target/fleet3 .
