#!/usr/bin/env bash
# Builds the stand-ins of the cases. The program itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/_standin
