#pragma once

#include "installation.h"
#include "zinniarelay/core/random.h"

#include <string>
#include <vector>

namespace zinnia::soak {

/// Draws faults and planned changes and inflicts them; they come in series and overlap.
class faults {
public:
  faults(installation& target, std::uint64_t seed, time_point started)
      : target_(target), engine_(seed), started_(started) {}

  /// Inflicts what is due; called every few milliseconds of a storm.
  void step(time_point now);
  /// Ends all faults; what is down starts again.
  void heal(time_point now);
  /// An upstream of each service is replaced, as planned work does it.
  void release(time_point now);

  /// One line for each fault, with its time.
  const std::vector<std::string>& journal() const { return journal_; }

private:
  using fault = void (faults::*)(time_point now);
  struct weighted_fault {
    fault inflict;
    int weight;
  };
  static const std::vector<weighted_fault>& all();

  void kill_control(time_point now);
  void kill_entry(time_point now);
  void kill_upstream(time_point now);
  void kill_all_controls(time_point now);
  void kill_all_hosts(time_point now);
  void pause_host(time_point now);
  void stop_entry(time_point now);
  void stop_control(time_point now);
  void wipe_control(time_point now);
  void tear_log(time_point now);
  void limit_storage(time_point now);
  void replace_upstream(time_point now);
  void reassign_address(time_point now);
  void reset_connections(time_point now);
  void silence_connections(time_point now);
  void delay_connections(time_point now);
  void cut_one_way(time_point now);
  void lose_packets(time_point now);
  void exchange_seeds(time_point now);

  void kill(member& it, time_point now);
  tcp_proxy& draw_proxy(std::string& name);
  std::uint32_t draw(std::uint32_t most);
  milliseconds draw_time(int least_ms, int most_ms);
  std::string draw_service();
  void note(time_point now, const std::string& what);

  installation& target_;
  random_engine engine_;
  time_point started_;
  time_point next_;
  std::vector<std::pair<time_point, std::uint32_t>> paused_; ///< until when, member
  std::optional<time_point> wiped_;
  std::vector<std::string> journal_;
};

} // namespace zinnia::soak
