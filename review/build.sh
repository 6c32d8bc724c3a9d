#!/bin/sh
# Builds the stand-ins that the cases start. The program itself is built as
# deploy/system.toml says.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin ./review/standin
