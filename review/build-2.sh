#!/bin/sh
# Builds the driver of the scripts of the second review, with all stand-ins that they start.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/driver2 ./review/driver2/platform
