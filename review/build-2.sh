#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, from the repository's root or from elsewhere.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review2-cases ./review/4/testdata/cases
