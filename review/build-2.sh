#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into bin/. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../bin
go build -o ../../bin/review-standin-2 .
