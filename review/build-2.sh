#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. Run after the build of the deploy file,
# from any folder; takes about a minute. Uses the deploy file's packages alone (g++ and nlohmann-json3-dev).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/harness-2)
for source in http_standin store_standin deployment keyed_server_standin; do
  g++ "${flags[@]}" -c "review/harness-2/$source.cc" -o "target/review-2/$source.o" &
done
for job in $(jobs -p); do wait "$job"; done
for source in review/harness-2/case_*.cc; do
  name=$(basename "$source" .cc)
  g++ "${flags[@]}" "$source" target/review-2/{http_standin,store_standin,deployment,keyed_server_standin}.o -o "target/review-2/$name"
done
