#!/usr/bin/env bash
# Builds the stand-ins of the second review and one program for each review/N/main.cpp into
# target/review-2/. Needs the packages of deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out/objects"
flags=(-std=c++20 -O1 -pthread -Isrc -I. -Wall -Wextra -Wno-missing-field-initializers)
sources=(src/base/*.cpp src/http/*.cpp review/standin-2/*.cpp review/[6-9]/main.cpp)
[ -e review/10/main.cpp ] && sources+=(review/10/main.cpp)

compile() {
  local object="$out/objects/${1//\//_}.o"
  # The headers are few; any change builds everything again.
  if [ ! -e "$object" ] || [ -n "$(find src/base src/http review "$1" -newer "$object" \
      \( -name '*.h' -o -path "$1" \) -print -quit)" ]; then
    g++ "${flags[@]}" -c "$1" -o "$object"
  fi
}
export -f compile
export out
flags_text=$(printf '%q ' "${flags[@]}")
export flags_text
printf '%s\0' "${sources[@]}" |
  xargs -0 -P 4 -n 1 bash -c 'set -euo pipefail; eval "flags=($flags_text)"; compile "$0"'

common=()
for source in src/base/*.cpp src/http/*.cpp review/standin-2/*.cpp; do
  common+=("$out/objects/${source//\//_}.o")
done
for source in "${sources[@]}"; do
  case $source in
  review/*/main.cpp)
    number=${source#review/}
    number=${number%/main.cpp}
    g++ -pthread "$out/objects/${source//\//_}.o" "${common[@]}" -lglog -o "$out/case-$number"
    ;;
  esac
done
echo "built $out"
