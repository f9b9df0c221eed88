#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs nothing but Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../.build/review
GOWORK=off go build -o ../../.build/review/standin .
