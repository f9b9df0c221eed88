#!/usr/bin/env bash
# Regenerates the committed Go code of lib/pkg/peerpb/peer.proto. Requires protoc (Debian package protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
bin="$PWD/.build/bin"
mkdir -p "$bin"
GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
GOBIN="$bin" go install google.golang.org/grpc/cmd/protoc-gen-go-grpc@v1.6.2
PATH="$bin:$PATH" protoc -I lib/pkg/peerpb --go_out=lib --go_opt=module=rosemarygrade.dev/lib \
  --go-grpc_out=lib --go-grpc_opt=module=rosemarygrade.dev/lib lib/pkg/peerpb/peer.proto
