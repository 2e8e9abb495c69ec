#pragma once

#include "installation.h"
#include "zinniarelay/core/random.h"

#include <string>
#include <vector>

namespace zinnia::soak {

/// Applies random faults and planned changes, which follow each other and overlap.
class faults {
public:
  faults(installation& target, std::uint64_t seed, time_point started)
      : installation_(target), engine_(seed), started_(started) {}

  /// Applies the next fault if it is due and resumes paused processes. Called every 10 ms of a
  /// storm.
  void step(time_point now);
  /// As step(), with the faults that meet an installation during its first start, in quick
  /// succession.
  void step_first_start(time_point now);
  /// Ends all faults and restarts all processes that are down.
  void heal(time_point now);
  /// Replaces one upstream of each service, as a planned release does.
  void replace_one_per_service(time_point now);

  /// Kills one control host, which may be the leader.
  void kill_one_control(time_point now) { kill_one(role::control, now); }

  /// Returns one line for each fault, with its time.
  const std::vector<std::string>& journal() const { return journal_; }

private:
  using fault = void (faults::*)(time_point now);
  struct weighted_fault {
    fault apply;
    int weight;
  };
  static const std::vector<weighted_fault>& fault_table();
  static const std::vector<weighted_fault>& first_start_table();
  void apply_random(const std::vector<weighted_fault>& table, time_point now);

  void kill_control(time_point now) { kill_one(role::control, now); }
  void kill_entry(time_point now) { kill_one(role::entry, now); }
  void kill_upstream(time_point now) { kill_one(role::upstream, now); }
  void kill_all_controls(time_point now);
  void kill_all_hosts(time_point now);
  void pause_host(time_point now);
  void stop_entry(time_point now) { stop_one(role::entry, now); }
  void stop_control(time_point now) { stop_one(role::control, now); }
  void wipe_control(time_point now);
  void tear_log(time_point now);
  void limit_storage(time_point now);
  void replace_upstream(time_point now);
  void reassign_address(time_point now);
  void reset_connections(time_point now);
  void stall_connections(time_point now);
  void delay_connections(time_point now);
  void slow_connections(time_point now);
  void cut_one_way(time_point now);
  void lose_packets(time_point now);
  void rotate_seeds(time_point now);

  member& random_member(role kind);
  void kill_one(role kind, time_point now);
  void stop_one(role kind, time_point now);
  void kill(member& target, time_point now);
  /// Chooses a proxy of a control host and sets its name.
  tcp_proxy& random_proxy(std::string& name);
  /// Returns a random number from 1 to `max`.
  std::uint32_t random_up_to(std::uint32_t max);
  milliseconds random_duration(int min_ms, int max_ms);
  std::string random_service();
  void record(time_point now, const std::string& what);

  installation& installation_;
  random_engine engine_;
  time_point started_;
  time_point next_fault_;
  std::vector<std::pair<time_point, std::uint32_t>> paused_; ///< end, member index
  std::optional<time_point> last_wipe_;
  std::vector<std::string> journal_;
};

} // namespace zinnia::soak
