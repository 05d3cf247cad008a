#!/usr/bin/env bash
# Builds the stand-ins of the second review. The hosts are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-standin2 ./review/second/standin
