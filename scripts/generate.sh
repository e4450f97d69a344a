#!/bin/sh
# Generates generated/ from proto/. Needs protobuf-compiler and protobuf-compiler-grpc.
set -eu
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=generated proto/operator.proto
protoc -I proto --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/operator.proto
