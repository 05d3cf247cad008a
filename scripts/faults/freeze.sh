# Guards "a non-idempotent request runs at most once" and "established flows
# survive": a host is stopped for 6 s, longer than every lease, while transfers
# run, and then goes on with what it held.
start_trust
start_callers
pause 4
log "host 4 is stopped with SIGSTOP"
kill -STOP "${HOST_PIDS[3]}"
pause 6
log "host 4 goes on"
kill -CONT "${HOST_PIDS[3]}"
compare
conclude "$SUMMARY"
