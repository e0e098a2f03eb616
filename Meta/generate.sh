#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code. The build does not run this.
set -euo pipefail
cd "$(dirname "$0")/.."
schemas=Libraries/Protocol/Schemas
protoc -I "$schemas" --cpp_out=Libraries/Protocol/Generated \
  --grpc_out=Libraries/Protocol/Generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" "$schemas"/*.proto
