#!/bin/sh
# Builds the stand-ins of the third review into target/review-3. They have no dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/trial
GOWORK=off GOFLAGS=-mod=readonly go build -o ../../target/review-3/trial .
