#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, to
# target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in owner; do
  ${CC:-gcc} -std=gnu11 -Wall -O2 -g -D_GNU_SOURCE -pthread -Wno-format-truncation -Wno-restrict \
    -o "target/review-2/$case" review/standin-2/rig.c "review/standin-2/$case.c"
done
