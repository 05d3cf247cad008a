# Guards "an established flow survives any planned change" and "every planned
# stop is graceful". A host is killed while a target drains, and another host is
# stopped gracefully 1 s later.
start_trust_cell
start_callers
pause 5
log "draining target auction-desk-05"
change_configuration drain auction-desk auction-desk-05
log "killing host 3 with SIGKILL"
kill -KILL "${HOST_PIDS[2]}"
wait "${HOST_PIDS[2]}" 2>/dev/null || true
pause 1
log "stopping host 6 with SIGTERM"
kill -TERM "${HOST_PIDS[5]}"
read_release
wait_in_force "$GENERATION" $((HOSTS - 2))
summarize_outcome
stopped=0
wait "${HOST_PIDS[5]}" || stopped=$?
if [ "$stopped" != 0 ]; then report_violation "host 6 exited with code $stopped after SIGTERM, want 0"; fi
print_result "generation $GENERATION in force, exit code of the stopped host $stopped; $SUMMARY"
