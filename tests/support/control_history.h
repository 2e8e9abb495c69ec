#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace zinnia::support {

/// The events of a run of control hosts, in order, and a check of them that is independent of the
/// implementation of the hosts.
struct control_history {
  struct entry {
    std::uint64_t host = 0;
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t previous_term = 0;
    std::uint64_t content = 0; ///< digest
  };
  struct event {
    enum class kind { elected, appended, applied, answered, in_force };
    kind type = kind::elected;
    entry log;                       ///< elected: index and term of the last entry
    std::uint64_t term = 0;          ///< of the election
    std::uint64_t checked_index = 0; ///< elected: the highest index applied by any host
    std::uint64_t checked_term = 0; ///< elected: term of that entry in the leader's log; 0 for none
    std::string operation;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    bool is_accepted = false;
  };

  std::vector<event> events;

  /// Returns the first violation, or an empty string.
  std::string violation() const;
};

inline std::string control_history::violation() const {
  using kind = event::kind;
  std::map<std::uint64_t, std::uint64_t> leaders;
  std::map<std::pair<std::uint64_t, std::uint64_t>, entry> appended;
  std::map<std::uint64_t, entry> applied;
  std::map<std::uint64_t, std::uint64_t> applied_by;
  std::map<std::string, std::tuple<bool, std::uint64_t>> results;
  std::map<std::uint64_t, std::uint64_t> digests;
  std::map<std::uint64_t, std::uint64_t> in_force;
  const auto number = [](std::uint64_t n) { return std::to_string(n); };
  for (const auto& it : events) {
    switch (it.type) {
    case kind::elected: {
      const auto [leader, is_first] = leaders.emplace(it.term, it.log.host);
      if (!is_first && leader->second != it.log.host)
        return "election safety: two leaders in term " + number(it.term);
      const auto committed = applied.find(it.checked_index);
      if (committed != applied.end() && committed->second.term != it.checked_term)
        return "leader " + number(it.log.host) + " of term " + number(it.term) +
               " lacks committed entry " + number(it.checked_index);
      break;
    }
    case kind::appended: {
      const auto [first, is_first] = appended.emplace(std::pair(it.log.index, it.log.term), it.log);
      if (!is_first && (first->second.content != it.log.content ||
                        first->second.previous_term != it.log.previous_term))
        return "log matching: entry " + number(it.log.index) + " of term " + number(it.log.term) +
               " differs on host " + number(it.log.host);
      break;
    }
    case kind::applied: {
      const auto [first, is_first] = applied.emplace(it.log.index, it.log);
      if (!is_first &&
          (first->second.term != it.log.term || first->second.content != it.log.content))
        return "committed entry " + number(it.log.index) + " was replaced on host " +
               number(it.log.host);
      break;
    }
    case kind::answered: {
      const auto [first, is_first] =
          results.emplace(it.operation, std::tuple(it.is_accepted, it.revision));
      if (!is_first && first->second != std::tuple(it.is_accepted, it.revision))
        return "operation " + it.operation + " has two results";
      break;
    }
    case kind::in_force: {
      auto& previous = in_force[it.log.host];
      if (it.revision < previous) return "revision went back on host " + number(it.log.host);
      previous = it.revision;
      const auto [first, is_first] = digests.emplace(it.revision, it.digest);
      if (!is_first && first->second != it.digest)
        return "revision " + number(it.revision) + " has two contents";
      break;
    }
    }
  }
  return {};
}

} // namespace zinnia::support
