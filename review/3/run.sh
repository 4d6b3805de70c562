#!/usr/bin/env bash
# Stops the replication to one replica and crashes the primary 2 s later, in each of three
# services with sync_replicas 1.
# Needs the build of deploy/system.toml and of review/build.sh.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-standin sync .
