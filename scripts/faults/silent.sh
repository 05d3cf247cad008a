# Guards "a silent flow is reset": the fabric loses track of one in 5 open
# flows, so that the answers of their targets are dropped, while new flows work.
# The callers of exactly these flows get a reset within SilentAfter of the plan
# (20 s, with a policy of 4 s); flows that are only quiet are not reset.
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
write_plan talking 0 1s 24s
write_plan quiet 1 1h 18s
start_trust
PLAN=$RUN/talking.json
start_callers
talking=$CALLER
pause 4
call "http://$(show fabric.out Admin)/forget" --method PUT --body '{"OneIn": 5}' >"$RUN/forget.json"
forgotten=$(show forget.json Forgotten)
log "the fabric loses track of $forgotten flows; new flows are opened and stay quiet"
cp "$RUN/caller.err" "$RUN/talking.err"
start quiet "$RUN/bin/standin" caller --plan "$RUN/quiet.json" --fabric "$FABRIC"
quiet=$STARTED
wait "$talking" || fault "callers failed: $(cat "$RUN/caller.err")"
mv "$RUN/caller.out" "$RUN/talking.out"
# The resets count as broken flows in the ledger, so that its verdict is not used here.
CALLER=$quiet
wait "$quiet" || fault "quiet callers failed: $(cat "$RUN/quiet.err")"
cp "$RUN/quiet.out" "$RUN/caller.out"
if ! report --json >"$RUN/outcome.json"; then fault "quiet flows: the ledgers show a broken invariant"; fi
quiet_held=$(($(show outcome.json Flows.0.Held) + $(show outcome.json Flows.1.Held)))
sum() { echo $(($(show talking.out "Flows.0.$1") + $(show talking.out "Flows.1.$1"))); }
resets=$(sum Reset) silent=$(sum Silent) opened=$(sum Opened) held=$(sum Held)
if [ "$forgotten" = 0 ]; then fault "no flow was forgotten"; fi
if [ "$resets $silent $held" != "$forgotten 0 $((opened - forgotten))" ]; then
  fault "of $forgotten silent flows $resets were reset and $silent not; $held of the other $((opened - forgotten)) are held"
fi
if [ "$quiet_held" != 200 ]; then fault "$quiet_held of 200 quiet flows are held"; fi
conclude "$forgotten silent flows: $resets reset; $held/$((opened - forgotten)) others and $quiet_held/200 new quiet flows held"
