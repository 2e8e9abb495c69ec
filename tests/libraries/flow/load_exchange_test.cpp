#include "flow_fixture.h"

#include "zinniarelay/flow/flow_host.h"
#include "zinniarelay/flow/load_summary.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace zinnia {
namespace {

using namespace support;

constexpr int host_count = 59;
constexpr int upstream_count = 120;
constexpr int tick_ms = 10;
constexpr int death_ms = 3'000;
constexpr int end_ms = 6'000;
constexpr double flows_per_host_and_second = 24;
constexpr milliseconds answer_time{10};
constexpr milliseconds flow_time{150};
constexpr milliseconds link_delay{5};
constexpr milliseconds poll_interval{500};

time_point at(int ms) {
  return time_at(milliseconds(ms));
}

enum class exchange { off, on };

/// Replays 59 entry hosts whose callers open flows on 120 upstreams, of which the first stops
/// answering. Callers repeat an unanswered opening packet at the same host after 200 ms and 600 ms.
/// Observations reach a control host by datagrams, and come back in replies that take a link delay.
class replay {
public:
  replay(exchange reports, double lost_share, std::uint64_t seed)
      : reports_(reports), lost_share_(lost_share), engine_(seed) {
    wire::news_reply first;
    first.set_source(7);
    *first.mutable_declaration() = declaration_of(3);
    first.set_declaration_version(3);
    for (int n = 0; n < upstream_count; ++n)
      *first.mutable_upstreams()->add_reports() =
          report_of("i-" + std::to_string(n), static_cast<std::uint16_t>(8'000 + n)).to_wire();
    for (int n = 0; n < host_count; ++n) {
      flow_host_settings settings;
      settings.router.selection.zone = "a";
      settings.router.selection.report_timeout = milliseconds(60'000);
      if (reports == exchange::on)
        settings.router.load_reports = {"entry-" + std::to_string(n), "a"};
      hosts_.push_back(std::make_unique<flow_host>(settings, random_engine(engine_()), at(0)));
      hosts_.back()->apply(at(0), first, at(0));
    }
    positions_.resize(host_count);
    polled_.resize(host_count, at(0));
  }

  /// Returns the number of callers whose first opening packet went to the dead upstream.
  int callers_on_dead_upstream() {
    for (int ms = 0; ms < end_ms; ms += tick_ms) {
      run_due(at(ms));
      for (int n = 0; n < host_count; ++n)
        step(at(ms), n);
      summary_.tick(at(ms));
    }
    return callers_;
  }

private:
  using event = std::function<void(time_point)>;

  void run_due(time_point now) {
    while (!events_.empty() && events_.begin()->first <= now) {
      const auto due = events_.extract(events_.begin()).mapped();
      due(now);
    }
  }

  void step(time_point now, int host) {
    std::bernoulli_distribution opens(flows_per_host_and_second * tick_ms / 1'000);
    if (opens(engine_)) open(now, host, ++port_, 0);
    if (reports_ == exchange::off) return;
    if (auto load = hosts_[host]->take_due_load(now)) send(now, host, *load);
    poll(now, host);
  }

  void open(time_point now, int host, std::uint16_t port, std::uint32_t copies) {
    const auto decision = hosts_[host]->handle(now, opening_packet(port, copies), {});
    if (decision.upstream_id == nullptr) return;
    const bool is_dead = *decision.upstream_id == "i-0" && now >= at(death_ms);
    if (is_dead && copies == 0) ++callers_;
    if (is_dead && copies < 2)
      events_.emplace(now + milliseconds(copies == 0 ? 200 : 400),
                      [=, this](auto later) { open(later, host, port, copies + 1); });
    if (is_dead) return;
    const auto tag = decision.route_tag;
    events_.emplace(now + answer_time, [=, this](auto later) {
      hosts_[host]->handle(later, flow_packet(port, tag), {});
    });
    events_.emplace(now + flow_time, [=, this](auto later) {
      hosts_[host]->handle(later, ending_packet(port, tag), {});
    });
  }

  void send(time_point now, int host, const wire::flow_load& load) {
    if (std::bernoulli_distribution(lost_share_)(engine_)) return;
    events_.emplace(now + link_delay, [=, this](auto later) {
      summary_.record(later, {0x0A01'0000U + static_cast<std::uint32_t>(host), 7'100},
                      load_summary::sender::present, load);
    });
  }

  void poll(time_point now, int host) {
    wire::news_request request;
    request.set_host("entry-" + std::to_string(host));
    request.set_accepts_loads(true);
    request.set_suspects_position(positions_[host]);
    if (now - polled_[host] < poll_interval && !summary_.has_new_suspects(now, request)) return;
    wire::news_reply reply;
    reply.set_source(7);
    reply.set_from_position(1);
    summary_.add_to(now, request, reply);
    positions_[host] = std::max(positions_[host], reply.suspects().position());
    const auto requested = std::exchange(polled_[host], now);
    events_.emplace(now + link_delay,
                    [=, this](auto later) { hosts_[host]->apply(later, reply, requested); });
  }

  exchange reports_;
  double lost_share_;
  random_engine engine_;
  std::vector<std::unique_ptr<flow_host>> hosts_;
  load_summary summary_;
  std::vector<std::uint64_t> positions_;
  std::vector<time_point> polled_;
  std::multimap<time_point, event> events_;
  std::uint16_t port_ = 0;
  int callers_ = 0;
};

int callers_with(exchange reports, double lost_share = 0) {
  int out = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    out += replay(reports, lost_share, seed).callers_on_dead_upstream();
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_exchange_tests)

// Guards against each entry host finding out with flows of its own callers that an upstream is
// dead. Five replays of 3 s after the death.
BOOST_AUTO_TEST_CASE(a_dead_upstream_costs_all_hosts_together_few_callers) {
  const auto without = callers_with(exchange::off);
  const auto with = callers_with(exchange::on);
  BOOST_TEST_MESSAGE("callers on the dead upstream: without " << without << ", with " << with);
  BOOST_TEST(with <= 5 * 12);
  BOOST_TEST(with * 3 <= without);
}

// Guards against an exchange that depends on single datagrams.
BOOST_AUTO_TEST_CASE(a_third_of_the_datagrams_lost_costs_few_callers_more) {
  const auto without = callers_with(exchange::off);
  const auto with = callers_with(exchange::on, 0.33);
  BOOST_TEST_MESSAGE("callers with a third of the datagrams lost: " << with);
  BOOST_TEST(with * 2 <= without);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace zinnia
