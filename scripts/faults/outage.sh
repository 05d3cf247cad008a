# Guards "an accepted configuration never reverts" and the rule that everything
# except publishing works without the platform. During an outage a host is killed,
# and a new host with the same name joins through its peers.
start_trust_cell
start_callers
pause 2
log "starting an outage of the platform"
set_platform_faults '{"Outage": true}'
pause 1
log "killing host 5 with SIGKILL"
kill -KILL "${HOST_PIDS[4]}"
wait "${HOST_PIDS[4]}" 2>/dev/null || true
# The new host uses the addresses of the old one, because the fabric cannot read a
# new roster during the outage.
seeds=""
for i in 1 2; do seeds+="{\"Host\": \"host-$i\", \"PeerAddress\": \"$(json_field roster.out "Hosts.$((i - 1)).PeerAddress")\"},"; done
sed -e "s/\"Seeds\": null/\"Seeds\": [${seeds%,}]/" \
  -e "s/\"\(Data\|Peer\|Admin\)Address\": \"127.0.0.1:0\"/\"\1Address\": \"\1\"/" "$RUN/host-5.json" >"$RUN/new.json"
for kind in Data Peer Admin; do sed -i "s/\"${kind}Address\": \"$kind\"/\"${kind}Address\": \"$(json_field roster.out "Hosts.4.${kind}Address")\"/" "$RUN/new.json"; done
pause 1
log "starting a new host 5"
start_process host-5-new "$HOST_PROGRAM" serve --settings "$RUN/new.json"
HOST_PIDS[4]=$STARTED
call "http://$(admin_address 5)/readyz" --wait 20s >/dev/null || report_violation "the new host 5 is not ready: $(tail -3 "$RUN/host-5-new.out")"
if run_command_at 1 publish drain auction-desk auction-desk-05; then report_violation "a change was accepted during the outage"; fi
log "a change was refused as expected: $(cat "$RUN/publish.err")"
pause 3
# The new host needs claims of its own for each transfer or bid that it serves.
served=$(call "http://$(admin_address 5)/metrics" | awk '$1 == "pimentospread_peer_sent_bytes_total{kind=\"Claim\"}" { n = $2 } END { print n + 0 }')
if [ "$served" = 0 ]; then report_violation "the new host 5 served no request"; fi
log "ending the outage of the platform"
set_platform_faults '{}'
run_command_at 5 publish drain auction-desk auction-desk-05 || report_violation "a change was refused after the outage: $(cat "$RUN/publish.err")"
read_release
wait_in_force "$GENERATION"
summarize_outcome
print_result "publishing refused, new host sent $served bytes of claims, generation $GENERATION in force on $HOSTS hosts; $SUMMARY"
