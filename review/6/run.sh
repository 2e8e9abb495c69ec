#!/usr/bin/env bash
# Case 6: after the loss of one zone, the loss of another one ends the control group. See claim.txt.
# The deployment has 3 zones with 3 control hosts each and tolerates the loss of 2 machines or 1 zone.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common-2.sh"

# Bounds of the site armor-caisses-grown.
contact_s=5       # contactMs
ack_timeout_s=6   # ackTimeoutMs
catch_up_s=6      # catchUpS
recovery_s=15     # recoveryS
margin_s=1

hosts_of() { echo "$1 $((10 + $1)) $((20 + $1))"; }
all_hosts="$(hosts_of 1) $(hosts_of 2) $(hosts_of 3)"
other_hosts() {
  local zone
  for zone in 1 2 3; do [ "$zone" = "$1" ] || hosts_of "$zone"; done | tr '\n' ' '
}
names_of() {
  local host
  for host in "$@"; do echo "control$host"; done
}

# The machines of the first start: 2 in each zone, of which one in each zone is a seed.
for zone in 1 2 3; do
  for host in $zone $((10 + zone)); do write_control "$host" "zone-$zone" true 2 1 2 3; done
done
for zone in 1 2 3; do
  for host in $zone $((10 + zone)); do start_control "$host"; done
done
order 1 20 1 2 3 11 12 13 || finish 2 "the group did not start"
sleep 3
# One spare machine is added in each zone (add_nodes).
for zone in 1 2 3; do
  write_control $((20 + zone)) "zone-$zone" false 2 1 2 3
  start_control $((20 + zone))
done
note "9 control hosts run, 3 in each zone"
sleep $((catch_up_s + margin_s))
# shellcheck disable=SC2086
order 2 $ack_timeout_s $all_hosts || finish 2 "the group of 9 does not acknowledge"
version=2

# lose_zone ZONE: loses all machines of a zone. Returns whether the others acknowledge a manifest
# once the core counts as stable again.
lose_zone() {
  # shellcheck disable=SC2046
  if [ "$trouble" = 1 ]; then lose $(names_of $(hosts_of "$1")); fi
  note "zone-$1: $([ "$trouble" = 1 ] && echo lost || echo untouched)"
  sleep $((contact_s + margin_s))
  version=$((version + 1))
  # shellcheck disable=SC2046
  order "$version" $ack_timeout_s $(other_hosts "$1")
}

lost=0
for zone in 1 2 3; do
  if ! lose_zone "$zone"; then
    lost=$zone
    break
  fi
  for host in $(hosts_of "$zone"); do
    [ "$trouble" = 1 ] || break
    write_control "$host" "zone-$zone" false 2 1 2 3
    start_control "$host"
  done
  note "zone-$zone: back, with its disks"
  sleep $((catch_up_s + margin_s))
done
if [ "$lost" = 0 ]; then
  # shellcheck disable=SC2086
  read_back "$version" $contact_s $all_hosts || finish 1 "the manifest does not come"
  finish 0 "all changes were acknowledged"
fi

# The machines of the zone are gone for good; others are added with the same roles, at new addresses
# and with empty disks.
for n in 1 2 3; do
  write_control $((30 + n)) "zone-$lost" false 2 1 2 3
  start_control $((30 + n))
done
note "zone-$lost: 3 new machines run, with empty disks; 9 control hosts run"
sleep $((catch_up_s + recovery_s))
# shellcheck disable=SC2046
if read_back $((version - 1)) $ack_timeout_s $(other_hosts "$lost") 31 32 33; then
  finish 1 "no acknowledgement while one zone was lost"
fi
finish 1 "no acknowledgement while one zone was lost, and the acknowledged manifest is gone for good"
