#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../target/review-standin .
