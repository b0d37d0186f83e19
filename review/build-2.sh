#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in quota crash forged poison; do
  rustc --edition 2024 -O -A dead_code -o "target/review-2/$name" "review/standin-2/$name.rs"
done
