#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off CGO_ENABLED=0 go build -o bin/standin ./standin
