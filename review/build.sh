#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/testdata/case*/; do
	name=$(basename "$folder")
	go build -o "target/review/$name" "./review/testdata/$name"
done
