#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/target/. They need no module beside the standard library.
set -eu
cd "$(dirname "$0")/lab"
GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -buildvcs=false -o ../target/lab .
