#!/usr/bin/env bash
# Stops the replication to one replica and crashes the primary 1.2 s later, again and again,
# in three services with sync_replicas 1.
# Needs the build of deploy/system.toml and of review/build.sh.
# With TROUBLE=0 it does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
exec ../../target/review-standin sync .
