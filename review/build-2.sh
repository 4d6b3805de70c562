#!/bin/sh
# Builds the stand-ins that the scripts in 6 to 10 start, into target/.
set -eu
cd "$(dirname "$0")/standin-2"
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
go build -o ../../target/review-2 .
