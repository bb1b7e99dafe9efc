#!/bin/sh
# Regenerates the gRPC code; needs protoc (Debian package protobuf-compiler).
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && GOWORK=off GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc)
for f in $(git ls-files -co --exclude-standard '*.proto'); do
	PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative "$f"
done
