#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread "$source" -o "target/review-3/$(basename "$source" .cpp)" -lboost_json
done
