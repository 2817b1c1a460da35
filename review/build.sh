#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin/. It needs no network beyond the modules of the project's own build.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o review/bin/ ./review/standin
