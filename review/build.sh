#!/bin/sh
# Builds the stand-ins that the scripts of review/ start.  The programs of
# pimentopost are built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -pthread -o bin/standin standin/*.c -lm
