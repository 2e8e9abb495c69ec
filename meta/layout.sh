# shellcheck shell=bash
# Functions that start and stop the processes of one installation on the
# loopback network. Sourced by meta/demo, meta/prove and meta/bench.
#
# Each run has its own address in 127.0.0.0/8, so that concurrent runs do not
# share ports. Zones are 1 and 2; hosts with odd numbers are in zone 1.

bin=$PWD/build/bin
declare -A pid_of=()   # process id by name

# open_layout FOLDER_NAME: makes the work folder and installs a trap that stops all
# processes at exit.
open_layout() {
  work=$(mktemp -d "${TMPDIR:-/tmp}/zinnia-$1.XXXXXX")
  ip=127.$((10 + BASHPID / 62500 % 200)).$((BASHPID / 250 % 250)).$((1 + BASHPID % 250))
  trap close_layout EXIT
  trap 'exit 130' INT TERM
  mkdir "$work/logs"
}

# Kills every process started by start(), by process id, and waits for its end.
stop_all_processes() {
  local name pid
  for name in "${!pid_of[@]}"; do
    kill -CONT "${pid_of[$name]}" 2>/dev/null || true
    kill -KILL "${pid_of[$name]}" 2>/dev/null || true
  done
  for pid in "${pid_of[@]}"; do wait "$pid" 2>/dev/null || true; done
  pid_of=()
}

# close_layout [CODE]: stops all processes and exits. The work folder is kept after a
# failure.
close_layout() {
  local code=${1:-$?}
  trap - EXIT
  stop_all_processes
  if [ "$code" -ne 0 ] || [ -n "${KEEP_WORK:-}" ]; then
    echo "logs and journals are kept in $work" >&2
  else
    rm -rf "$work"
  fi
  exit "$code"
}

# start NAME COMMAND...: runs a process in the background; its log is logs/NAME.
start() {
  local name=$1
  shift
  "$@" >>"$work/logs/$name" 2>&1 &
  pid_of[$name]=$!
}

is_running() { kill -0 "${pid_of[$1]}" 2>/dev/null; }

send_signal() { kill -"$2" "${pid_of[$1]}"; }

# finish NAME: waits for the process to end and returns its exit code.
finish() {
  local code=0
  wait "${pid_of[$1]}" || code=$?
  unset "pid_of[$1]"
  return "$code"
}

# kill_now NAME: kills the process and waits for its end.
kill_now() {
  send_signal "$1" KILL
  finish "$1" 2>/dev/null || true
}

# wait_until SECONDS WHAT COMMAND...: repeats the command until it succeeds; fails after the timeout.
wait_until() {
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "gave up waiting: $what" >&2
      return 1
    fi
    sleep 0.1
  done
}

has_logged() { grep -q -- "$2" "$work/logs/$1"; }

control_address() { echo "$ip:$((7100 + $1))"; }
fabric_address() { echo "$ip:$((7200 + $1))"; }
peer_address() { echo "$ip:$((7300 + $1))"; }
registration_address() { echo "$ip:$((7400 + $1))"; }
upstream_address() { echo "$ip:$((7500 + $1))"; }
fabric_listen=7001
fabric_control=7002
service_address() {
  case $1 in
  registry) echo "$ip:7010" ;;
  catalogue) echo "$ip:7011" ;;
  esac
}

zone_of_number() { echo $((2 - $1 % 2)); }

# address_list FUNCTION COUNT: prints the addresses of hosts 1 to COUNT as a YAML list.
address_list() {
  local kind=$1 count=$2 n list=""
  for ((n = 1; n <= count; n++)); do list+="${list:+, }\"$("$kind" "$n")\""; done
  echo "[$list]"
}

# write_settings CONTROLS ENTRIES: writes settings and data folders of all hosts, keys,
# credentials and the declaration.
write_settings() {
  local controls=$1 entries=$2 n members=""
  rm -rf "$work"/{control,entry}[0-9]* "$work/keys.yaml" "$work"/*.journal
  rm -f "$work"/logs/{control,entry,upstream}[0-9]* "$work/logs/fabric"
  entry_count=$entries
  control_list=$(for ((n = 1; n <= controls; n++)); do control_address "$n"; done | paste -sd,)
  "$bin/zinniactl" keys generate "$work/keys.yaml" >>"$work/logs/zinniactl"
  for ((n = 1; n <= controls; n++)); do
    members+="  - {id: $n, address: \"$(control_address "$n")\", zone: $(zone_of_number "$n")}"$'\n'
  done
  for ((n = 1; n <= controls; n++)); do
    mkdir "$work/control$n"
    cat >"$work/control$n.yaml" <<END
control: $n
availability_zone: $(zone_of_number "$n")
address: "$(control_address "$n")"
cluster: 4711
data_folder: control$n
founding_members:
$members
END
  done
  for ((n = 1; n <= entries; n++)); do
    mkdir "$work/entry$n"
    cat >"$work/entry$n.yaml" <<END
host: $n
availability_zone: $(zone_of_number "$n")
fabric_address: "$(fabric_address "$n")"
peer_address: "$(peer_address "$n")"
registration_address: "$(registration_address "$n")"
control_hosts: $(address_list control_address "$controls")
seeds: $(address_list peer_address "$entries")
keys_file: keys.yaml
data_folder: entry$n
END
  done
  echo "registry credential of $work" >"$work/registry.credential"
  echo "catalogue credential of $work" >"$work/catalogue.credential"
  write_declaration 20
}

# write_declaration SLOW_START: declares both services.
write_declaration() {
  cat >"$work/services.yaml" <<END
services:
  - name: registry
    address: "$(service_address registry)"
    methods:
      - {name: lookup, kind: idempotent, deadline: 30 s}
      - {name: certify, kind: non-idempotent, deadline: 30 s}
    join: {slow_start_requests: $1}
    announce: {credential_file: registry.credential}
  - name: catalogue
    address: "$(service_address catalogue)"
    methods:
      - {name: lookup, kind: idempotent, deadline: 30 s}
      - {name: download, kind: idempotent, deadline: 30 s}
    join: {slow_start_requests: $1}
    announce: {credential_file: catalogue.credential}
END
}

initialize_control() {
  "$bin/zinnia-controld" --settings "$work/control$1.yaml" --initialize >>"$work/logs/control$1" 2>&1
}

start_control() { start "control$1" "$bin/zinnia-controld" --settings "$work/control$1.yaml"; }

start_entry() { start "entry$1" "$bin/zinnia-entryd" --settings "$work/entry$1.yaml"; }

# start_fabric OPTIONS...: starts the fabric for all entry hosts and both services.
start_fabric() {
  local n hosts=()
  for ((n = 1; n <= entry_count; n++)); do hosts+=(--host "$(fabric_address "$n")"); done
  start fabric "$bin/zinnia-fabric" --listen "$ip:$fabric_listen" --control "$ip:$fabric_control" \
    --service "$(service_address registry)" --service "$(service_address catalogue)" \
    "${hosts[@]}" "$@"
  wait_until 10 "fabric" has_logged fabric "fabric is ready"
}

# fabric_command WORDS...: sends one command and prints the reply.
fabric_command() {
  local reply
  exec {fabric_socket}<>"/dev/udp/$ip/$fabric_control"
  echo -n "$*" >&"$fabric_socket"
  # The built-in read of the shell reads single bytes and would lose the rest of the datagram.
  reply=$(timeout 5 head -n 1 <&"$fabric_socket") || reply="no reply"
  exec {fabric_socket}>&-
  echo "$reply"
  [[ $reply != error* && $reply != "no reply" ]]
}

# start_upstream NUMBER SERVICE OPTIONS...: the number determines the zone.
start_upstream() {
  local number=$1 service=$2 n entries=()
  shift 2
  for ((n = 1; n <= entry_count; n++)); do
    if [ "$(zone_of_number "$n")" = "$(zone_of_number "$number")" ]; then
      entries+=(--entry "$(registration_address "$n")")
    fi
  done
  start "upstream$number" "$bin/zinnia-upstream" "${entries[@]}" --service "$service" \
    --credential-file "$work/$service.credential" --zone "$(zone_of_number "$number")" \
    --address "$(upstream_address "$number")" --journal "$work/upstream$number.journal" "$@"
}

wait_announced() { wait_until 20 "upstream $1 announced" has_logged "upstream$1" "announced"; }

# start_caller NAME SERVICE OPTIONS...: its journal is NAME.journal.
start_caller() {
  local name=$1 service=$2
  shift 2
  start "$name" "$bin/zinnia-caller" --service "$service" \
    --service-address "$(service_address "$service")" --journal "$work/$name.journal" "$@"
}

summary_of() { grep '^service=' "$work/logs/$1" || true; }

# value_of FIELD NAME: prints one field from the summary of a caller.
value_of() { summary_of "$2" | sed -n "s/.* $1=\([0-9.]*\).*/\1/p"; }

# Lines of journals are "FLOW NUMBER METHOD DIGEST" of upstreams and "METHOD
# DIGEST OUTCOME REASON LENGTH" of callers. A digest names one request of a caller.
started_digests() { { cat "$work"/upstream*.journal 2>/dev/null || true; } | awk '$3 == "certify" {print $4}'; }

# Prints the non-idempotent requests that upstreams started more than once.
requests_started_twice() { started_digests | sort | uniq -d; }

# digests_with OUTCOME: prints the non-idempotent requests of all callers with this outcome.
digests_with() {
  { cat "$work"/caller*.journal 2>/dev/null || true; } |
    awk -v kind="$1" '$1 == "certify" && $3 == kind {print $2}' | sort -u
}

# Prints the requests that ran although the caller received outcome_not_run.
run_after_not_run() { comm -12 <(digests_with outcome_not_run) <(started_digests | sort -u); }

# Prints the requests that the caller has an answer to and that no upstream started.
answered_but_not_run() { comm -23 <(digests_with outcome_answered) <(started_digests | sort -u); }

count_lines() { wc -l | tr -d ' '; }

# ctl ARGUMENTS...: runs zinniactl, which finds the leader among all control hosts.
ctl() { ZINNIA_CONTROL=$control_list "$bin/zinniactl" "$@" 2>>"$work/logs/zinniactl"; }

# start_hosts CONTROLS ENTRIES FABRIC_OPTIONS...: starts an installation without upstreams, in
# which both services are declared and in force.
start_hosts() {
  local n
  write_settings "$1" "$2"
  for ((n = 1; n <= $1; n++)); do
    initialize_control "$n"
    start_control "$n"
  done
  for ((n = 1; n <= entry_count; n++)); do start_entry "$n"; done
  start_fabric "${@:3}"
  wait_until 30 "declaration accepted" apply_declaration
  wait_until 30 "declaration in force on $entry_count hosts" is_in_force 1 "$entry_count"
}

# Applies the declaration that write_declaration wrote.
apply_declaration() { ctl apply "$work/services.yaml" --author layout; }

# is_in_force REVISION HOSTS: whether at least HOSTS entry hosts report REVISION or a later one.
is_in_force() {
  [ "$(ctl status | awk -v least="$1" '$3 ~ /^(serving|draining)$/ && $4 >= least' | count_lines)" -ge "$2" ]
}

# start_upstreams SERVICE NUMBERS -- OPTIONS...: starts upstreams of a service and waits
# until they are announced.
start_upstreams() {
  local service=$1 numbers=() n
  shift
  while [ "$1" != -- ]; do
    numbers+=("$1")
    shift
  done
  shift
  for n in "${numbers[@]}"; do start_upstream "$n" "$service" "$@"; done
  for n in "${numbers[@]}"; do wait_announced "$n"; done
}
