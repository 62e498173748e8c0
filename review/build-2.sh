#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. The programs of the system come from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/drill"
GOWORK=off go build -o ../../target/drill .
