#!/bin/sh
# Generates the Go code of the .proto file in the current directory with the
# plugins that go.mod lists as tools. protoc itself has to be installed.
set -eu
protoc \
  --plugin="protoc-gen-go=$(go tool -n protoc-gen-go)" \
  --plugin="protoc-gen-go-grpc=$(go tool -n protoc-gen-go-grpc)" \
  --go_out=paths=source_relative:. --go-grpc_out=paths=source_relative:. *.proto
