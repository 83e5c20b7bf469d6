#!/usr/bin/env bash
# Builds the cases and all stand-ins that they start. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/...
