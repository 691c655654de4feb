#!/usr/bin/env bash
# Builds the programs of the cases: stand-ins, clients and checks. They use the standard
# library only and go to target/review/. The project itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review/ ./cmd/...
