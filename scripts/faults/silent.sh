# Guards "a silent flow is reset". The fabric forgets one in 5 open flows, so that
# the answers of their targets are dropped, while new flows work. Exactly the
# callers of these flows must receive a reset within SilentAfter of the plan (20 s,
# with a SilenceAfter policy of 4 s). Idle flows must not be reset.
HOSTS=3
GRANT_WAIT=0
BOARD_INTERVAL=1h
sed 's/"SilenceAfter": "30s"/"SilenceAfter": "4s"/' "$SET" >"$RUN/silent-set.json"
SET=$RUN/silent-set.json
write_plan() {
  cat >"$RUN/$1.json" <<END
{
  "Process": $2, "Callers": 1, "OpenRate": 100, "KeepAlive": "$3", "SilentAfter": "20s", "Duration": "$4",
  "Services": [
    {"Name": "auction-desk", "Address": "192.0.2.10:443", "Flows": 150},
    {"Name": "cert-office", "Address": "192.0.2.20:443", "Flows": 50}
  ]
}
END
}
write_plan active 0 1s 24s
write_plan idle 1 1h 18s
start_trust_cell
PLAN=$RUN/active.json
start_callers
active=$CALLER
pause 4
call "http://$(json_field fabric.out Admin)/forget" --method PUT --body '{"OneIn": 5}' >"$RUN/forget.json"
forgotten=$(json_field forget.json Forgotten)
log "the fabric forgot $forgotten flows; opening new flows that stay idle"
cp "$RUN/caller.err" "$RUN/active.err"
start_process idle "$RUN/bin/standin" caller --plan "$RUN/idle.json" --fabric "$FABRIC"
idle=$STARTED
wait "$active" || report_violation "the callers of active flows failed: $(cat "$RUN/caller.err")"
mv "$RUN/caller.out" "$RUN/active.out"
# The ledger counts the resets as broken flows, so its verdict is not used for the
# active flows.
CALLER=$idle
wait "$idle" || report_violation "the callers of idle flows failed: $(cat "$RUN/idle.err")"
cp "$RUN/idle.out" "$RUN/caller.out"
if ! compare_ledgers --json >"$RUN/outcome.json"; then report_violation "idle flows: the ledgers show a broken invariant"; fi
idle_held=$(($(json_field outcome.json Flows.0.Held) + $(json_field outcome.json Flows.1.Held)))
sum() { echo $(($(json_field active.out "Flows.0.$1") + $(json_field active.out "Flows.1.$1"))); }
resets=$(sum Reset) silent=$(sum Silent) opened=$(sum Opened) held=$(sum Held)
if [ "$forgotten" = 0 ]; then report_violation "the fabric forgot no flow"; fi
if [ "$resets $silent $held" != "$forgotten 0 $((opened - forgotten))" ]; then
  report_violation "of $forgotten silent flows $resets were reset and $silent were not; $held of $((opened - forgotten)) other flows are held"
fi
if [ "$idle_held" != 200 ]; then report_violation "$idle_held of 200 idle flows are held"; fi
print_result "$forgotten silent flows: $resets reset; $held/$((opened - forgotten)) others and $idle_held/200 new idle flows held"
