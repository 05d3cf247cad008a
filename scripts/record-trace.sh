#!/usr/bin/env bash
# Records the stored trace again, from a short run of the demo with a killed host,
# a drained target and a stopped host. Run it after an intended change of decisions.
set -euo pipefail
cd "$(dirname "$0")/.."

go build -o bin/ ./cmd/...
FOLDER=traces/trust-kill-drain-stop
RECORDED=$(mktemp -d)
trap 'rm -rf "$RECORDED"' EXIT

TRACE_DIR=$RECORDED PLAN=traces/plan.json KILL_AT=4 DRAIN_AT=6 STOP_AT=8 GRANT_WAIT=10 scripts/demo.sh
mkdir -p "$FOLDER"
rm -f "$FOLDER"/*.jsonl.gz
for file in "$RECORDED"/*.jsonl; do
  gzip -9 -n -c "$file" >"$FOLDER/$(basename "$file").gz"
done
bin/replay "$FOLDER"/*.gz | tee "$FOLDER/outcome.txt"
