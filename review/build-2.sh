#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/standin2
