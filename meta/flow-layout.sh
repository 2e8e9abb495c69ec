# shellcheck shell=bash
# Functions that start an installation of packet flows on the loopback network.
# Sourced by meta/flow-demo after meta/layout.sh. Each host has its own IP address,
# because callers receive packets at the same port as entry hosts.

packet_port=7600
flow_zone_of() { echo "zone-$((2 - $1 % 2))"; }
control_ip() { echo "${ip%.*}.$((100 + $1))"; }
entry_ip() { echo "${ip%.*}.$((120 + $1))"; }
caller_ip() { echo "${ip%.*}.$((140 + $1))"; }
flow_upstream_ip() { echo "${ip%.*}.$((160 + $1))"; }
flow_service=198.18.0.1

# write_flow_settings CONTROLS ENTRIES: writes the settings of all hosts. The first three
# control hosts are the founders.
write_flow_settings() {
  local n seeds=""
  for n in 1 2 3; do seeds+="${seeds:+, }\"$(control_ip "$n"):7700\""; done
  for ((n = 1; n <= $1; n++)); do
    mkdir "$work/control$n"
    cat >"$work/control$n.yaml" <<END
name: control$n
zone_name: $(flow_zone_of "$n")
address: "$(control_ip "$n"):7700"
operator_address: "$(control_ip "$n"):7701"
metrics_address: "$(control_ip "$n"):7702"
cluster: 1
data_folder: control$n
seeds: [$seeds]
first_start: "true"
tolerated_losses: 1
END
  done
  for ((n = 1; n <= $2; n++)); do
    cat >"$work/entry$n.yaml" <<END
name: entry$n
zone_name: $(flow_zone_of "$n")
packet_address: "$(entry_ip "$n"):$packet_port"
ready_address: "$(entry_ip "$n"):7601"
metrics_address: "$(entry_ip "$n"):7602"
notice_address: "$(entry_ip "$n"):7603"
control_hosts: [$seeds]
report_interval: 500 ms
END
  done
}

start_flow_control() { start "control$1" "$bin/zinnia-controld" --settings "$work/control$1.yaml"; }
start_flow_entry() { start "entry$1" "$bin/zinnia-flowd" --settings "$work/entry$1.yaml"; }

# start_flow_upstream NUMBER OPTIONS...: the upstream sends its reports to the first control host.
start_flow_upstream() {
  local number=$1
  shift
  start "upstream$number" "$bin/zinnia-flowpeer" upstream --id "i-a$number" --service registry \
    --zone "$(flow_zone_of "$number")" --address "$(flow_upstream_ip "$number"):7800" \
    --control "$(control_ip 1):7701" --caller-port "$packet_port" "$@"
}

# start_flow_caller NAME NUMBER ENTRIES OPTIONS...: the caller sends packets to entry hosts 1
# to ENTRIES.
start_flow_caller() {
  local name=$1 number=$2 count=$3 n entries=()
  shift 3
  for ((n = 1; n <= count; n++)); do entries+=(--entry "$(entry_ip "$n"):$packet_port"); done
  start "$name" "$bin/zinnia-flowpeer" caller --address "$(caller_ip "$number"):$packet_port" \
    --service-address "$flow_service:443" "${entries[@]}" "$@"
}

# http METHOD IP:PORT PATH BODY: sends a request and prints the status code of the response.
http() {
  local method=$1 host=$2 path=$3 body=$4 version status
  exec {http_socket}<>"/dev/tcp/${host%:*}/${host#*:}" || return 1
  printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
    "$method" "$path" "$host" "${#body}" "$body" >&"$http_socket"
  read -r version status _ <&"$http_socket"
  exec {http_socket}>&-
  [ -n "$version" ] && echo "$status"
}

# declare_flows VERSION CONTROL: declares one route, to the service registry, at a control host.
declare_flows() {
  [ "$(http POST "$(control_ip "$2"):7701" /api/config/replace "{\"version\":$1,\"routes\":[{
    \"name\":\"lookup\",\"hostname\":\"$flow_service\",\"pathPrefix\":\"/443/\",\"routeType\":\"safe\",
    \"timeoutMs\":2500,\"service\":\"registry\"}],\"services\":[{\"name\":\"registry\"}],
    \"limits\":{\"idleTimeoutMs\":15000}}")" = 200 ]
}

# large_declaration VERSION COUNT: prints a declaration of a route to the service registry on port
# 444 and of COUNT routes without traffic.
large_declaration() {
  awk -v version="$1" -v count="$2" -v service="$flow_service" 'BEGIN {
    srand(1)
    printf "{\"version\":%d,\"routes\":[", version
    printf "{\"name\":\"lookup\",\"hostname\":\"%s\",\"pathPrefix\":\"/444/\",\"routeType\":\"safe\",\"timeoutMs\":2500,\"service\":\"registry\"}", service
    for (n = 0; n < count; n++)
      printf ",{\"name\":\"r-%07d\",\"hostname\":\"198.19.%d.%d\",\"pathPrefix\":\"/%d/\",\"routeType\":\"safe\",\"timeoutMs\":2500,\"service\":\"registry\"}", rand() * 10000000, n / 2000, n / 8 % 250, 8000 + n % 8
    print "],\"services\":[{\"name\":\"registry\"}],\"limits\":{\"idleTimeoutMs\":15000}}"
  }'
}

is_flow_ready() { [ "$(http GET "$(entry_ip "$1"):7601" /api/ready "")" = 200 ]; }
