#!/bin/sh
# Builds the stand-in that the scripts of review/6 to review/10 start. It uses the standard library only.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
GOTOOLCHAIN=local GOWORK=off GOFLAGS= go build -o ../../target/stand2 .
