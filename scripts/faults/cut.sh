# Guards "a non-idempotent request runs at most once", "not run" and "an
# accepted configuration never reverts": the hosts of one failure domain lose
# the hosts of the others for 8 s, while the fabric hands packets to all of
# them and a change is published.
start_surroundings
start relay "$RUN/bin/standin" relay --count "$HOSTS"
announced relay
RELAY=http://$(show relay.out Admin)
ROSTER_OPTIONS=(--relay "$RELAY")
start_targets auction-desk --count 14 --slots 2 --connections 2000 --service-time 20ms
start_targets cert-office --count 4 --slots 2 --connections 2000 --service-time 200ms
start_hosts
start_callers
pause 3
log "lk-west-col is cut off"
call "$RELAY/cut" --method PUT --body '{"FailureDomain": "lk-west-col"}' >/dev/null
pause 3
operate 1 publish drain auction-desk auction-desk-05 || fault "a change is refused: $(cat "$RUN/publish.err")"
pause 5
log "the network is whole again"
call "$RELAY/cut" --method PUT --body '{"FailureDomain": ""}' >"$RUN/cut.json"
if [ "$(show cut.json Lost)" = 0 ]; then fault "the cut lost nothing"; fi
read_release
in_force "$GENERATION"
operate 2 publish drain cert-office cert-office-02 || fault "a change is refused after the cut: $(cat "$RUN/publish.err")"
read_release
in_force "$GENERATION"
compare
conclude "generation $GENERATION in force on $HOSTS hosts; $SUMMARY"
