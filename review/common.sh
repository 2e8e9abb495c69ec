# shellcheck shell=bash
# Functions for the scripts of this folder: free loopback addresses, processes, HTTP requests and
# the record. Sourced with the case's folder as the current one.

case_folder=$PWD
root=$(cd "$case_folder/../.." && pwd)
record=$case_folder/record.txt
work=$(mktemp -d "${TMPDIR:-/tmp}/zinnia-review.XXXXXX")
ip=127.$((10 + BASHPID / 62500 % 200)).$((BASHPID / 250 % 250))
started_at=$EPOCHREALTIME
declare -A pid_of=()
: >"$record"

# now_ms: milliseconds since the start of the script, without a fork.
now_ms() { REPLY=$(((${EPOCHREALTIME/./} - ${started_at/./}) / 1000)); }

note() {
  now_ms
  printf '%7d ms  %s\n' "$REPLY" "$*" | tee -a "$record"
}

# start NAME COMMAND...: runs a process in the background; its log is $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
}

is_running() { kill -0 "${pid_of[$1]}" 2>/dev/null; }

stop_all() {
  local pid
  for pid in "${pid_of[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in "${pid_of[@]}"; do wait "$pid" 2>/dev/null || true; done
  pid_of=()
}

# finish CODE: ends all processes and exits.
finish() {
  trap - EXIT
  stop_all
  rm -rf "$work"
  exit "$1"
}
trap 'finish 2' EXIT
trap 'finish 2' INT TERM

# http METHOD IP:PORT PATH BODY: prints the status of the reply, or "none" after one second.
http() {
  local method=$1 host=$2 path=$3 body=$4 line=""
  exec 3>&2 2>/dev/null
  if exec {http_socket}<>"/dev/tcp/${host%:*}/${host#*:}"; then
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
      "$method" "$path" "$host" "${#body}" "$body" >&"$http_socket"
    read -r -t 1 line <&"$http_socket"
    exec {http_socket}>&-
  fi
  exec 2>&3 3>&-
  line=${line#* }
  line=${line%% *}
  echo "${line:-none}"
}
