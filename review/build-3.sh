#!/usr/bin/env bash
# Builds the stand-in that the scripts of the third review start. Run it after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/standin3 ./review/_standin3
