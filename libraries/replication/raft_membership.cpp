#include "zinniarelay/replication/raft_membership.h"

#include <algorithm>
#include <set>

namespace zinnia {
namespace {

using member_list = std::vector<wire::control_member>;

const wire::control_member* find_in(const member_list& list, std::uint64_t id) {
  const auto it =
      std::find_if(list.begin(), list.end(), [&](const auto& member) { return member.id() == id; });
  return it == list.end() ? nullptr : &*it;
}

std::vector<std::uint64_t> voters_of(const member_list& list) {
  std::vector<std::uint64_t> out;
  for (const auto& it : list)
    if (!it.learner()) out.push_back(it.id());
  std::sort(out.begin(), out.end());
  return out;
}

bool has_majority(const member_list& list, const std::function<bool(std::uint64_t)>& predicate) {
  const auto voters = voters_of(list);
  const auto count = std::count_if(voters.begin(), voters.end(), predicate);
  return static_cast<std::size_t>(count) * 2 > voters.size();
}

std::uint64_t majority_value(const member_list& list,
                             const std::function<std::uint64_t(std::uint64_t)>& value) {
  std::vector<std::uint64_t> values;
  for (const auto id : voters_of(list))
    values.push_back(value(id));
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

} // namespace

const wire::control_member* raft_membership::find(std::uint64_t id) const {
  if (const auto* it = find_in(members, id)) return it;
  return find_in(outgoing, id);
}

bool raft_membership::is_voter(std::uint64_t id) const {
  const auto* incoming = find_in(members, id);
  const auto* outgoing_member = find_in(outgoing, id);
  return (incoming != nullptr && !incoming->learner()) ||
         (outgoing_member != nullptr && !outgoing_member->learner());
}

member_list raft_membership::all_members() const {
  auto out = members;
  for (const auto& it : outgoing)
    if (find_in(members, it.id()) == nullptr) out.push_back(it);
  return out;
}

std::size_t raft_membership::voter_count() const {
  return voters_of(members).size();
}

bool raft_membership::has_quorum(const std::function<bool(std::uint64_t)>& predicate) const {
  return has_majority(members, predicate) && (!is_joint() || has_majority(outgoing, predicate));
}

std::uint64_t
raft_membership::quorum_value(const std::function<std::uint64_t(std::uint64_t)>& value) const {
  const auto incoming = majority_value(members, value);
  return is_joint() ? std::min(incoming, majority_value(outgoing, value)) : incoming;
}

bool has_same_voters(const member_list& a, const member_list& b) {
  return voters_of(a) == voters_of(b);
}

} // namespace zinnia
