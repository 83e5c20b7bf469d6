#!/bin/sh
# Regenerates wire.pb.go and wire_drpc.pb.go. Needs protoc (Debian: protobuf-compiler).
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
gofmt -w wire.pb.go wire_drpc.pb.go
