#!/usr/bin/env bash
# Regenerates src/rpc/generated from src/rpc/mesh.proto.
set -eu
cd "$(dirname "$0")/.."
protoc -I src/rpc --cpp_out=src/rpc/generated --grpc_out=src/rpc/generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" src/rpc/mesh.proto
