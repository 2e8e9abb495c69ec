#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace zinnia::support {

/// What a run of control hosts did, in order, and a check of it that knows
/// nothing of how the hosts work.
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
    kind what = kind::elected;
    entry log;                    ///< elected: index and term of the last entry
    std::uint64_t term = 0;       ///< of the election
    std::uint64_t held_index = 0; ///< elected: highest applied index that was checked
    std::uint64_t held_term = 0;  ///< elected: the term of that entry in the log; 0 for none
    std::string operation;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    bool is_accepted = false;
  };

  std::vector<event> events;

  /// The first violation, or an empty string.
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
  const auto text = [](std::uint64_t n) { return std::to_string(n); };
  for (const auto& it : events) {
    switch (it.what) {
    case kind::elected: {
      const auto [leader, is_first] = leaders.emplace(it.term, it.log.host);
      if (!is_first && leader->second != it.log.host)
        return "election safety: two leaders in term " + text(it.term);
      const auto held = applied.find(it.held_index);
      if (held != applied.end() && held->second.term != it.held_term)
        return "leader " + text(it.log.host) + " of term " + text(it.term) +
               " lacks committed entry " + text(it.held_index);
      break;
    }
    case kind::appended: {
      const auto [first, is_first] = appended.emplace(std::pair(it.log.index, it.log.term), it.log);
      if (!is_first && (first->second.content != it.log.content ||
                        first->second.previous_term != it.log.previous_term))
        return "log matching: entry " + text(it.log.index) + " of term " + text(it.log.term) +
               " differs on host " + text(it.log.host);
      break;
    }
    case kind::applied: {
      const auto [first, is_first] = applied.emplace(it.log.index, it.log);
      if (!is_first &&
          (first->second.term != it.log.term || first->second.content != it.log.content))
        return "committed entry " + text(it.log.index) + " was replaced on host " +
               text(it.log.host);
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
      auto& before = in_force[it.log.host];
      if (it.revision < before) return "revision went back on host " + text(it.log.host);
      before = it.revision;
      const auto [first, is_first] = digests.emplace(it.revision, it.digest);
      if (!is_first && first->second != it.digest)
        return "revision " + text(it.revision) + " has two contents";
      break;
    }
    }
  }
  return {};
}

} // namespace zinnia::support
