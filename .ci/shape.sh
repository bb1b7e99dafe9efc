#!/bin/sh
# Checks the code structure rules that a text search can check.
set -eu
cd "$(dirname "$0")/.."
failed=0

check() {
	if [ -n "$2" ]; then
		printf 'shape: %s\n%s\n' "$1" "$2"
		failed=1
	fi
}

sources() { git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$'; }

check "generic type or function of our own" \
	"$(sources | xargs grep -nE '^(func( \([^)]*\))? [A-Za-z0-9_]+\[|type [A-Za-z0-9_]+\[[A-Za-z]+ )' || true)"
check "interface of our own" \
	"$(sources | xargs grep -nE '^\s*(type )?[A-Za-z0-9_]+ interface \{' || true)"
check "test table that is a slice" \
	"$(sources | grep '_test\.go$' | xargs grep -nE ':= \[\]struct ?\{' || true)"
check "package named util, common or helpers" \
	"$(sources | xargs grep -nE '^package (util|utils|common|helper|helpers)$' || true)"
check "notice in a source file" \
	"$(sources | xargs grep -nE 'Copyright|SPDX-License' || true)"
check "reverse proxy library" \
	"$(sources | xargs grep -nE 'net/http/httputil' || true)"
exit $failed
