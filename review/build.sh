#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -I .)
objects=()
pids=()
for source in review/standin/*.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/[1-9]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$number"
done
