#!/bin/sh
# Builds the stand-in of the script of the third review. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-standin-3 .
