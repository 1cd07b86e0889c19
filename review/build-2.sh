#!/bin/bash
# Builds the stand-ins and cases of the second review into target/review-2. Run it after the build
# of the deploy file.
set -e
cd "$(dirname "$0")/.."
cmake -S review/stage -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j8
