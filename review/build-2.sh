#!/bin/sh
# Builds the stand-ins that the scripts of this review start.
set -e
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/review-2 ./review/standin2
