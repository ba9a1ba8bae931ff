#!/usr/bin/env bash
# Builds what the scripts of folders 4 and up start beside the controllers: the stand-ins, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-mod=readonly
go build -o target/review-trial ./review/trial
