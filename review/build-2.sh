#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The programs of the system are built by the
# command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/harness
