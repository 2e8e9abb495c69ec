#pragma once

#include "zinniarelay/core/random.h"
#include "zinniarelay/core/time.h"
#include "zinniarelay/flow/flow_table.h"
#include "zinniarelay/flow/upstream_selector.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <vector>

namespace zinnia::support {

/// Packet flows in zones with queues, in virtual time: callers that resend, entry hosts with a
/// selector each, and upstreams with two slots and a bounded queue.
class zone_flow_model {
public:
  struct zone {
    double flows_per_s = 0; ///< of callers
    int upstreams = 0;
    double speed = 1;             ///< of the upstreams, relative to service_ms
    bool is_reported_warm = true; ///< otherwise the reports say that the upstreams are warming up
    bool is_cut_off = false;      ///< opening packets from other zones are lost
    bool has_figures = true;      ///< of its hosts, at the hosts of other zones
  };
  enum class placement { never_leave, random_zone, present_rule, adaptive };
  struct options {
    int hosts_per_zone = 10;
    double service_ms = 100; ///< mean; exponential
    double delay_ms = 4;     ///< one way between zones
    milliseconds price{0};
    std::uint64_t seed = 1;
  };
  /// What the callers of one zone saw.
  struct outcome {
    std::vector<double> durations_ms; ///< of answered flows, from the first opening packet
    int failed = 0;
    std::map<int, int> opened; ///< by zone of the upstream that accepted the flow

    int total() const { return static_cast<int>(durations_ms.size()) + failed; }
    double share_to(int zone) const {
      const auto sum = std::accumulate(opened.begin(), opened.end(), 0,
                                       [](int n, const auto& it) { return n + it.second; });
      const auto it = opened.find(zone);
      return it == opened.end() ? 0 : static_cast<double>(it->second) / std::max(sum, 1);
    }
    double left(int own) const { return opened.empty() ? 0 : 1 - share_to(own); }
  };

  zone_flow_model(std::vector<zone> zones, placement rule, options settings)
      : zones(std::move(zones)), rule_(rule), options_(settings), engine_(settings.seed),
        sums_(this->zones.size()), outcomes_(this->zones.size()) {
    for (std::size_t z = 0; z < this->zones.size(); ++z)
      add_upstreams(static_cast<int>(z));
    for (std::size_t z = 0; z < this->zones.size(); ++z)
      for (int n = 0; n < options_.hosts_per_zone; ++n)
        add_host(static_cast<int>(z));
  }

  /// Runs for some time and returns what callers saw of the flows that began in it, by zone.
  std::vector<outcome> run(milliseconds duration) {
    outcomes_.assign(zones.size(), {});
    ++phase_;
    const auto end = now_ + duration;
    while (now_ < end)
      step();
    return outcomes_;
  }
  /// Returns the share of a host's new flows that its policy sends to another zone.
  double share(int zone, int to, int host = 0) const {
    const auto& from = hosts_.at(host_index(zone, host));
    const auto* shares = from.selector->spillover().shares_of("s");
    if (shares == nullptr) return 0;
    const auto it = shares->find(name_of(to));
    return it == shares->end() ? 0 : it->second;
  }
  /// Makes the reports of a zone's upstreams say that they are warming up, or no longer.
  void report_warmup(int zone, milliseconds warmup) {
    for (const auto& it : upstreams_)
      if (it.zone == zone) merge_report(it, warmup);
  }
  const upstream_selector& selector(std::size_t host) const { return *hosts_.at(host).selector; }
  std::size_t starts = 0; ///< of spillover, on all hosts
  std::vector<zone> zones;

private:
  struct flow {
    int zone = 0;
    std::size_t host = 0;
    int phase = 0;
    time_point begun;
    int copies = 0;
    int attempts = 1;
    flow_key key;
    std::uint64_t upstream = 0;
  };
  struct upstream {
    int zone = 0;
    upstream_report report;
    int busy = 0;
    std::deque<flow> queue;
  };
  struct host {
    int zone = 0;
    std::unique_ptr<upstream_selector> selector;
    std::unique_ptr<flow_table> flows;
  };
  struct event {
    time_point time;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  /// Opened and open flows of the callers of one zone, by zone of the upstreams.
  struct sums {
    std::map<int, std::deque<time_point>> opened;
    std::map<int, int> open;
  };

  static constexpr milliseconds step_length{1};
  static constexpr int slots = 2;
  static constexpr std::size_t queue_length = 8;
  static constexpr int max_attempts = 3;

  std::size_t host_index(int zone, int host) const {
    return static_cast<std::size_t>(zone) * static_cast<std::size_t>(options_.hosts_per_zone) +
           static_cast<std::size_t>(host);
  }
  static std::string name_of(int zone) { return std::string(1, static_cast<char>('a' + zone)); }

  void add_upstreams(int z) {
    for (int n = 0; n < zones[static_cast<std::size_t>(z)].upstreams; ++n) {
      upstream added;
      added.zone = z;
      added.report.id = name_of(z) + std::to_string(n);
      added.report.started_ms = 1'000;
      added.report.service = "s";
      added.report.address = {0x0A00'0001U + static_cast<std::uint32_t>(upstreams_.size()), 80};
      added.report.zone = name_of(z);
      added.report.slots = slots;
      index_[added.report.incarnation()] = upstreams_.size();
      upstreams_.push_back(added);
      const auto is_warm = zones[static_cast<std::size_t>(z)].is_reported_warm;
      merge_report(upstreams_.back(), is_warm ? milliseconds(0) : milliseconds(3'600'000));
    }
  }

  void merge_report(const upstream& it, milliseconds warmup) {
    auto report = it.report;
    report.sequence = ++sequence_;
    report.warmup = warmup;
    directory_.merge(now_, report, upstream_directory::origin::host);
  }

  void add_host(int z) {
    upstream_selector_settings settings;
    settings.zone = name_of(z);
    settings.spillover =
        rule_ == placement::adaptive ? zone_spillover::adaptive : zone_spillover::off;
    settings.cross_zone_price = options_.price;
    hosts_.push_back({z, std::make_unique<upstream_selector>(settings, random_engine(engine_())),
                      std::make_unique<flow_table>()});
    hosts_.back().selector->index_services(directory_, {});
  }

  void step() {
    now_ += step_length;
    while (!events_.empty() && events_.top().time <= now_) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
    for (std::size_t z = 0; z < zones.size(); ++z) {
      std::poisson_distribution<int> arrivals(zones[z].flows_per_s / 1'000);
      for (int n = arrivals(engine_); n > 0; --n)
        begin(static_cast<int>(z));
    }
    const auto ms = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
    if (ms % 500 == 0) send_loads();
    if (ms % 100 == 0) tick();
  }

  void tick() {
    for (auto& it : hosts_) {
      it.flows->expire(now_, milliseconds(1'000));
      it.selector->update_spillover(now_, {directory_, *it.flows});
      for (const auto& change : it.selector->take_spillover_changes())
        starts += change.is_start ? 1 : 0;
    }
  }

  /// Sends the sums of the last second to all hosts but one of twenty, and the contact of zones.
  void send_loads() {
    for (auto& it : hosts_) {
      std::vector<wire::zone_load> loads;
      for (std::size_t from = 0; from < zones.size(); ++from)
        if (zones[from].has_figures || static_cast<int>(from) == it.zone)
          append_loads(static_cast<int>(from), loads);
      for (std::size_t z = 0; z < zones.size(); ++z)
        if (!zones[z].is_cut_off)
          it.selector->record_zone_contact(name_of(static_cast<int>(z)), now_);
      if (std::uniform_int_distribution<int>(0, 19)(engine_) > 0)
        it.selector->set_zone_loads(now_, loads);
    }
  }

  void append_loads(int from, std::vector<wire::zone_load>& out) {
    auto& sum = sums_[static_cast<std::size_t>(from)];
    for (std::size_t to = 0; to < zones.size(); ++to) {
      auto& opened = sum.opened[static_cast<int>(to)];
      while (!opened.empty() && now_ - opened.front() > std::chrono::seconds(1))
        opened.pop_front();
      auto& load = out.emplace_back();
      load.set_service("s");
      load.set_caller_zone(name_of(from));
      load.set_upstream_zone(name_of(static_cast<int>(to)));
      load.set_open_flows(static_cast<std::uint32_t>(std::max(0, sum.open[static_cast<int>(to)])));
      load.set_opened_per_s(static_cast<std::uint32_t>(opened.size()));
      load.set_hosts(static_cast<std::uint32_t>(options_.hosts_per_zone));
      load.set_age_ms(500);
    }
  }

  void after(double ms, std::function<void()> run) {
    const auto delay = std::chrono::duration<double, std::milli>(ms);
    events_.push(
        {now_ + std::chrono::duration_cast<microseconds>(delay), order_++, std::move(run)});
  }

  void begin(int zone) {
    flow it;
    it.zone = zone;
    it.phase = phase_;
    it.begun = now_;
    const auto host = std::uniform_int_distribution<int>(0, options_.hosts_per_zone - 1)(engine_);
    it.host = host_index(zone, host);
    it.key.caller = {++next_caller_, 1};
    open(it);
  }

  std::uint64_t select(const flow& it) {
    if (rule_ == placement::present_rule || rule_ == placement::adaptive) {
      auto& from = hosts_[it.host];
      const auto* chosen = from.selector->select(now_, {directory_, *from.flows}, "s", it.upstream);
      return chosen == nullptr ? 0 : chosen->incarnation;
    }
    std::vector<std::uint64_t> list;
    for (const auto& other : upstreams_)
      if (rule_ == placement::random_zone || other.zone == it.zone)
        list.push_back(other.report.incarnation());
    if (list.empty()) return 0;
    return list[std::uniform_int_distribution<std::size_t>(0, list.size() - 1)(engine_)];
  }

  /// Sends a copy of an opening packet, and the next one when it is not answered.
  void open(flow it) {
    auto& from = hosts_[it.host];
    if (it.copies > 0 && it.upstream != 0) {
      from.selector->record_timeout(now_, directory_, it.upstream, it.begun);
      --sums_[static_cast<std::size_t>(it.zone)].open[upstream_of(it.upstream).zone];
    }
    it.upstream = select(it);
    if (it.upstream == 0) return fail(it);
    auto& to = upstream_of(it.upstream);
    auto& sum = sums_[static_cast<std::size_t>(it.zone)];
    if (it.copies == 0) sum.opened[to.zone].push_back(now_);
    ++sum.open[to.zone];
    from.flows->open(now_, it.key, it.upstream);
    const auto is_lost = to.zone != it.zone && zones[static_cast<std::size_t>(to.zone)].is_cut_off;
    if (!is_lost && to.queue.size() < queue_length) return accept(to, it);
    // Resends after 200 ms and 600 ms, and gives up the attempt after 1.4 s.
    const auto wait = it.copies == 0 ? 200 : it.copies == 1 ? 400 : 800;
    ++it.copies;
    after(wait, [this, it]() mutable { it.copies < 3 ? open(it) : give_up(it); });
  }

  void give_up(flow it) {
    --sums_[static_cast<std::size_t>(it.zone)].open[upstream_of(it.upstream).zone];
    hosts_[it.host].flows->close(it.key);
    if (it.attempts == max_attempts) return fail(it);
    ++it.attempts;
    it.copies = 0;
    it.upstream = 0;
    it.key.caller.address = ++next_caller_;
    open(it);
  }

  void fail(const flow& it) {
    if (it.phase == phase_) ++outcomes_[static_cast<std::size_t>(it.zone)].failed;
  }

  void accept(upstream& to, const flow& it) {
    hosts_[it.host].selector->record_answer(now_, *directory_.find(it.upstream),
                                            microseconds(1'000) + round_trip(it, to));
    if (it.phase == phase_) ++outcomes_[static_cast<std::size_t>(it.zone)].opened[to.zone];
    to.queue.push_back(it);
    serve(to);
  }

  microseconds round_trip(const flow& it, const upstream& to) const {
    return it.zone == to.zone ? microseconds(0) : microseconds(int(2'000 * options_.delay_ms));
  }

  void serve(upstream& at) {
    while (at.busy < slots && !at.queue.empty()) {
      const auto it = at.queue.front();
      at.queue.pop_front();
      ++at.busy;
      const auto mean = options_.service_ms / zones[static_cast<std::size_t>(at.zone)].speed;
      after(std::exponential_distribution<double>(1 / mean)(engine_), [this, it, &at] {
        --at.busy;
        end(it, at);
        serve(at);
      });
    }
  }

  void end(const flow& it, const upstream& at) {
    --sums_[static_cast<std::size_t>(it.zone)].open[at.zone];
    hosts_[it.host].flows->close(it.key);
    if (it.phase != phase_) return;
    const std::chrono::duration<double, std::milli> took = now_ - it.begun + 2 * round_trip(it, at);
    outcomes_[static_cast<std::size_t>(it.zone)].durations_ms.push_back(took.count());
  }

  upstream& upstream_of(std::uint64_t incarnation) { return upstreams_[index_.at(incarnation)]; }

  placement rule_;
  options options_;
  random_engine engine_;
  time_point now_{std::chrono::hours(1)};
  std::uint64_t order_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint32_t next_caller_ = 0;
  int phase_ = 0;
  std::priority_queue<event> events_;
  upstream_directory directory_;
  std::vector<upstream> upstreams_;
  std::map<std::uint64_t, std::size_t> index_; ///< of upstreams_, by incarnation
  std::vector<host> hosts_;
  std::vector<sums> sums_;
  std::vector<outcome> outcomes_;
};

} // namespace zinnia::support
