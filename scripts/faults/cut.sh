# Guards "a non-idempotent request runs at most once", "not run" and "an accepted
# configuration never reverts". The hosts of one failure domain are isolated from
# the others for 8 s, while the fabric sends packets to all hosts and a change is
# published.
start_platform_and_fabric
start_process relay "$RUN/bin/standin" relay --count "$HOSTS"
wait_for_start relay
RELAY=http://$(json_field relay.out Admin)
ROSTER_OPTIONS=(--relay "$RELAY")
start_targets auction-desk --count 14 --slots 2 --connections 2000 --service-time 20ms
start_targets cert-office --count 4 --slots 2 --connections 2000 --service-time 200ms
start_hosts
start_callers
pause 3
log "isolating failure domain lk-west-col"
call "$RELAY/cut" --method PUT --body '{"FailureDomain": "lk-west-col"}' >/dev/null
pause 3
run_command_at 1 publish drain auction-desk auction-desk-05 || report_violation "a change was refused during the isolation: $(cat "$RUN/publish.err")"
pause 5
log "ending the isolation"
call "$RELAY/cut" --method PUT --body '{"FailureDomain": ""}' >"$RUN/cut.json"
if [ "$(json_field cut.json Lost)" = 0 ]; then report_violation "the isolation dropped no data"; fi
read_release
wait_in_force "$GENERATION"
run_command_at 2 publish drain cert-office cert-office-02 || report_violation "a change was refused after the isolation: $(cat "$RUN/publish.err")"
read_release
wait_in_force "$GENERATION"
summarize_outcome
print_result "generation $GENERATION in force on $HOSTS hosts; $SUMMARY"
