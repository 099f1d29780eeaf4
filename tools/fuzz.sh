#!/usr/bin/env bash
# Runs the stateful tests for longer than CI does.
# usage: tools/fuzz.sh [SEED [CASES]]
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
export RC_PARAMS="seed=${1:-20261204} max_success=${2:-10000}"
"$build/dispatch_tests" --gtest_filter='AtMost*'
"$build/membership_tests" --gtest_filter='Soundness*'
"$build/config_tests" --gtest_filter='*Model*'
