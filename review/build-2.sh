#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They need only the standard library.
# Case 8 also needs an older build of the project, which is made from the history.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in review/standins-2/*.rs; do
  name="$(basename "$name" .rs)"
  [ "$name" = rig ] && continue
  rustc --edition 2024 -O -o "target/review-2/$name" "review/standins-2/$name.rs"
done

# All packages that its Cargo.lock names are also in today's.
older=dceb9c7
source=target/review-2/older-source
if [ -e target/review-2/older/release/limpetwick-gateway ]; then
  exit 0
fi
rm -rf "$source"
mkdir -p "$source"
if git archive "$older" | tar x -C "$source" &&
  (cd "$source" && cargo build --release --locked -p platform --target-dir ../older); then
  echo "built $older"
else
  echo "could not build $older; case 8 can't run" >&2
fi
