#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/platformrelay ] || exit 2
exec target/review-harness freed-while-fetched target/platformrelay review/1/record.txt
