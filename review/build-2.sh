#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. Needs nothing but the toolchain.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-2/standin2 .
