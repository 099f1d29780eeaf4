#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin/. Needs only the
# packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]/case.cpp; do
  number="${source%/case.cpp}"
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I harness \
    "$source" -o "bin/case-$number"
done
