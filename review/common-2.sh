# shellcheck shell=bash
# Functions for the scripts of cases 6 and later. Sourced by run.sh of a case, which sets `here` to
# its folder. Starts the daemons of the deploy file on loopback addresses, with settings as the
# templates under platform/ fill them in, and ends all of them when the script exits.
#
# TROUBLE=0 runs a case without its disruption. PROGRAMS names the folder of the daemons.

root=$(cd "$here/../.." && pwd)
programs=${PROGRAMS:-$root/target/bin}
trouble=${TROUBLE:-1}
record=$here/record.txt
work=$(mktemp -d "${TMPDIR:-/tmp}/zinnia-review.XXXXXX")
# Each host has an address of its own, so that all hosts use the same ports.
network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
started_at=$(date +%s%N)
declare -A pids=()

# The ports of the sample settings in DEPLOY.md.
internal_port=7720
control_port=8166
metrics_port=9900

: >"$record"

# note TEXT...: appends a line with the seconds since the start to record.txt.
note() {
  local ms=$((($(date +%s%N) - started_at) / 1000000))
  printf '%3d.%03d %s\n' $((ms / 1000)) $((ms % 1000)) "$*" | tee -a "$record"
}

end_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null
    kill -KILL "${pids[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then echo "kept $work"; else rm -rf "$work"; fi
}
trap end_all EXIT
trap 'exit 2' INT TERM

# finish CODE TEXT: records the verdict and ends the script.
finish() {
  note "verdict: $2 (exit $1)"
  exit "$1"
}

[ -x "$programs/zinnia-controld" ] || finish 2 "zinnia-controld is not built in $programs"

host_ip() { echo "$network.$1"; }

# write_control NUMBER ZONE FIRST_START LOSSES SEED_NUMBERS...: writes the settings of a control
# host and creates its data folder if there is none.
write_control() {
  local number=$1 zone=$2 first_start=$3 losses=$4 seeds="" seed
  shift 4
  for seed in "$@"; do seeds+="${seeds:+, }\"$(host_ip "$seed"):$control_port\""; done
  mkdir -p "$work/disk$number"
  cat >"$work/control$number.yaml" <<END
name: "core-$number"
zone_name: "$zone"
address: "$(host_ip "$number"):$internal_port"
operator_address: "$(host_ip "$number"):$control_port"
metrics_address: "$(host_ip "$number"):$metrics_port"
cluster: 1
data_folder: "$work/disk$number"
seeds: [$seeds]
seed_port: $internal_port
first_start: "$first_start"
tolerated_losses: $losses
zones: ["zone-1", "zone-2", "zone-3"]
END
}

# start NAME COMMAND...: starts a process whose output goes to a log in the work folder.
start() {
  local name=$1
  shift
  (cd "$root" && exec "$@") >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

start_control() {
  start "control$1" "$programs/zinnia-controld" --settings "$work/control$1.yaml"
}

# lose NAME...: ends processes by SIGKILL, all before waiting for any.
lose() {
  local name
  for name in "$@"; do kill -KILL "${pids[$name]}"; done
  for name in "$@"; do
    wait "${pids[$name]}" 2>/dev/null || true
    unset "pids[$name]"
  done
}

# http METHOD IP PATH BODY: sends a request to the control port and prints the status code and the
# body. Prints 000 without a response within a second.
http() {
  timeout 1 bash -c '
    exec 3<>"/dev/tcp/$2/$5" || exit 1
    printf "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s" \
      "$1" "$3" "$2" "${#4}" "$4" >&3
    read -r _ status _ <&3
    while IFS= read -r line <&3 && [ "${#line}" -gt 1 ]; do :; done
    echo "$status $(cat <&3)"
  ' http "$1" "$2" "$3" "$4" "$control_port" 2>/dev/null || echo "000"
}

# manifest VERSION: prints a manifest with one route.
manifest() {
  printf '{"version":%s,"routes":[{"name":"r-1","hostname":"198.18.0.1","pathPrefix":"/8443/","routeType":"safe","timeoutMs":2500,"aimMs":200,"priority":2,"service":"lookup","maxAttempts":2}],"services":[{"name":"lookup","healthPath":"/health","maxFlows":2000,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}' "$1"
}

# order VERSION SECONDS HOSTS...: sends a manifest to the hosts in turn, again and again, until one
# acknowledges it. Fails when none has within the time.
order() {
  local version=$1 seconds=$2 until host reply last=""
  shift 2
  until=$(($(date +%s%N) + seconds * 1000000000))
  while :; do
    for host in "$@"; do
      reply=$(http POST "$(host_ip "$host")" /api/config/replace "$(manifest "$version")")
      if [ "${reply%% *}" = 200 ]; then
        note "manifest $version: acknowledged by core-$host"
        return 0
      fi
      last+=" core-$host:${reply%% *}"
      [ "$(date +%s%N)" -lt "$until" ] || break 2
    done
    sleep 0.2
  done
  note "manifest $version: no acknowledgement within $seconds s, answers:$(echo "$last" | tr ' ' '\n' | sed '/^$/d' | sort | uniq -c | awk '{printf " %s x%s", $2, $1}')"
  return 1
}

# read_back VERSION SECONDS HOSTS...: reads the manifest at the hosts in turn until one returns that
# version or a newer one. Fails when none has within the time.
read_back() {
  local version=$1 seconds=$2 until host reply found last=""
  shift 2
  until=$(($(date +%s%N) + seconds * 1000000000))
  while :; do
    for host in "$@"; do
      reply=$(http GET "$(host_ip "$host")" /api/config/describe "")
      found=$(sed -n 's/^200 {"version":\([0-9]*\),.*/\1/p' <<<"$reply")
      if [ -n "$found" ] && [ "$found" -ge "$version" ]; then
        note "read: core-$host returns manifest $found"
        return 0
      fi
      last+=" core-$host:${reply%% *}"
      [ "$(date +%s%N)" -lt "$until" ] || break 2
    done
    sleep 0.2
  done
  note "read: no manifest within $seconds s, answers:$(echo "$last" | tr ' ' '\n' | sed '/^$/d' | sort | uniq -c | awk '{printf " %s x%s", $2, $1}')"
  return 1
}
