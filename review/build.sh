#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs Go only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../bin/standin .
