#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run it after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/standin2 ./review/_standin2
