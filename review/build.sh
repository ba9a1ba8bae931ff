#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs the build of the deploy file beside it, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-mod=readonly
mkdir -p target
go build -o target/review-cases ./review/cases
