#include "zinniarelay/balance/dispatch_queue.h"
#include "zinniarelay/core/random.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>

namespace {

using namespace zinnia;

constexpr service_id service{1};

time_point at_ms(std::int64_t ms) {
  return time_point{} + milliseconds(ms);
}

upstream_settings fast_warmup() {
  upstream_settings settings;
  settings.completions_per_slot = 1;
  return settings;
}

work request(std::uint64_t number, std::int64_t deadline_ms) {
  return {{number, 1}, service, at_ms(deadline_ms)};
}

std::vector<work_key> started(const dispatch_effects& effects) {
  std::vector<work_key> list;
  for (const auto& it : effects)
    if (const auto* start = std::get_if<start_work>(&it)) list.push_back(start->key);
  return list;
}

std::optional<reject_reason> rejected(const dispatch_effects& effects) {
  for (const auto& it : effects)
    if (const auto* refused = std::get_if<reject_work>(&it)) return refused->reason;
  return std::nullopt;
}

struct fixture {
  upstream_pool pool{fast_warmup(), 1};
  dispatch_queue queue{{}, pool, 1};

  // Sets up an upstream with one slot and a mean service time of 100 ms.
  fixture() {
    renew(0);
    queue.enqueue(at_ms(0), request(0, 10'000));
    queue.finish(at_ms(100), {0, 1}, call_result::completed);
  }

  void renew(std::int64_t ms) {
    pool.on_announcement(at_ms(ms), {service, incarnation_id{1}, {0x0A000001U, 1}, 1});
    pool.tick(at_ms(ms));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatch_queue_test, fixture)

BOOST_AUTO_TEST_CASE(waiting_requests_start_in_order) {
  BOOST_TEST(started(queue.enqueue(at_ms(100), request(1, 9'000))).size() == 1U);
  BOOST_TEST(started(queue.enqueue(at_ms(100), request(2, 9'000))).empty());
  BOOST_TEST(started(queue.enqueue(at_ms(100), request(3, 9'000))).empty());
  const auto next = started(queue.finish(at_ms(150), {1, 1}, call_result::completed));
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next[0] == work_key{2, 1}));
  BOOST_TEST(queue.queued(service) == 1U);
}

// Guards against a retransmission that is queued or run in addition to the original request.
BOOST_AUTO_TEST_CASE(duplicate_key_is_refused) {
  queue.enqueue(at_ms(100), request(1, 9'000));
  queue.enqueue(at_ms(100), request(2, 9'000));
  for (const std::uint64_t number : {1, 2})
    BOOST_TEST(
        (rejected(queue.enqueue(at_ms(101), request(number, 9'000))) == reject_reason::duplicate));
}

// Guards against queueing a request that cannot complete before its deadline
// (docs/design.md R23).
BOOST_AUTO_TEST_CASE(request_with_unreachable_deadline_is_refused) {
  queue.enqueue(at_ms(100), request(1, 9'000));
  BOOST_TEST((rejected(queue.enqueue(at_ms(100), request(2, 400))) ==
              reject_reason::deadline_unreachable));
  BOOST_TEST(!rejected(queue.enqueue(at_ms(100), request(3, 9'000))).has_value());
  BOOST_TEST((rejected(queue.enqueue(at_ms(100), request(4, 100))) == reject_reason::expired));
}

// Guards against starting a request whose deadline has passed in the queue.
BOOST_AUTO_TEST_CASE(expired_request_is_refused_not_started) {
  queue.enqueue(at_ms(100), request(1, 9'000));
  queue.enqueue(at_ms(100), request(2, 1'000));
  renew(500);
  BOOST_TEST((rejected(queue.tick(at_ms(1'000))) == reject_reason::expired));
  BOOST_TEST(started(queue.finish(at_ms(1'001), {1, 1}, call_result::completed)).empty());
}

BOOST_AUTO_TEST_CASE(queue_is_bounded) {
  const dispatch_settings settings;
  queue.enqueue(at_ms(100), request(1, 1'000'000));
  for (std::uint64_t n = 0; n < settings.min_queue; ++n)
    BOOST_TEST(!rejected(queue.enqueue(at_ms(100), request(10 + n, 1'000'000))).has_value());
  BOOST_TEST(
      (rejected(queue.enqueue(at_ms(100), request(9, 1'000'000))) == reject_reason::queue_full));
}

// Guards against requests that stay queued for a service without upstreams.
BOOST_AUTO_TEST_CASE(request_without_upstream_is_refused_after_grace_time) {
  queue.enqueue(at_ms(100), request(1, 90'000));
  queue.enqueue(at_ms(100), request(2, 90'000));
  queue.tick(at_ms(1'990));
  BOOST_TEST(!rejected(queue.tick(at_ms(2'100))).has_value());
  BOOST_TEST((rejected(queue.tick(at_ms(2'400))) == reject_reason::no_upstream));
}

BOOST_AUTO_TEST_CASE(cancelled_request_does_not_start) {
  queue.enqueue(at_ms(100), request(1, 9'000));
  queue.enqueue(at_ms(100), request(2, 9'000));
  BOOST_TEST(queue.cancel({2, 1}));
  BOOST_TEST(!queue.cancel({1, 1}));
  BOOST_TEST(started(queue.finish(at_ms(200), {1, 1}, call_result::completed)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

// Two hosts of a zone. Host 1 has the upstream, and host 2 gets the requests.
class lending_pair {
public:
  lending_pair(std::uint64_t seed, unsigned loss_percent, unsigned duplicate_percent)
      : engine_(seed), loss_percent_(loss_percent), duplicate_percent_(duplicate_percent) {}

  void run(std::int64_t until_ms, std::uint64_t requests) {
    for (; now_ms_ < until_ms; now_ms_ += 5) {
      if (now_ms_ % 500 == 0 && is_renewing)
        pools_[0].on_announcement(now(), {service, incarnation_id{1}, {0x0A000001U, 1}, 2});
      for (auto& pool : pools_)
        pool.tick(now());
      deliver();
      if (next_request_ < requests && now_ms_ % 100 == 0) {
        const work request{{next_request_++, 1}, service, now() + milliseconds(60'000)};
        execute(1, queues_[1]->enqueue(now(), request));
      }
      for (std::size_t n = 0; n < running_.size();) {
        if (running_[n].first > now_ms_) {
          ++n;
          continue;
        }
        const auto key = running_[n].second;
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(n));
        ++ended[key];
        execute(1, queues_[1]->finish(now(), key, call_result::completed));
      }
      for (unsigned n = 0; n < 2; ++n)
        execute(n, queues_[n]->tick(now()));
      max_running = std::max(max_running, running_.size());
    }
  }

  time_point now() const { return at_ms(now_ms_); }
  upstream_pool& lender() { return pools_[0]; }
  dispatch_queue& lending_queue() { return *queues_[0]; }

  std::map<work_key, unsigned> ended;
  unsigned refused = 0;
  std::size_t max_running = 0;
  time_point last_start;
  bool is_renewing = true;

private:
  void execute(unsigned host, const dispatch_effects& effects) {
    for (const auto& effect : effects) {
      if (const auto* start = std::get_if<start_work>(&effect)) {
        running_.emplace_back(now_ms_ + 5 + static_cast<std::int64_t>(engine_() % 40), start->key);
        last_start = now();
      }
      if (std::holds_alternative<reject_work>(effect)) ++refused;
      if (const auto* out = std::get_if<send_slot_message>(&effect)) send(host, *out);
    }
  }

  void send(unsigned from, const send_slot_message& out) {
    auto packet = out.packet;
    packet.set_from_host(from + 1);
    packet.set_from_incarnation(from + 1);
    const int copies = engine_() % 100 < duplicate_percent_ ? 2 : 1;
    for (int n = 0; n < copies; ++n)
      if (engine_() % 100 >= loss_percent_)
        in_flight_.push_back(
            {now_ms_ + static_cast<std::int64_t>(engine_() % 30), out.to.value - 1, packet});
  }

  void deliver() {
    auto due = std::move(in_flight_);
    in_flight_.clear();
    for (auto& it : due) {
      if (it.delivery_ms > now_ms_)
        in_flight_.push_back(std::move(it));
      else
        execute(it.to, queues_[it.to]->on_peer_message(now(), it.packet));
    }
  }

  struct message {
    std::int64_t delivery_ms;
    unsigned to;
    wire::peer_packet packet;
  };

  random_engine engine_;
  unsigned loss_percent_;
  unsigned duplicate_percent_;
  std::int64_t now_ms_ = 0;
  std::uint64_t next_request_ = 0;
  std::vector<upstream_pool> pools_{upstream_pool(fast_warmup(), 1),
                                    upstream_pool(fast_warmup(), 2)};
  std::vector<std::unique_ptr<dispatch_queue>> queues_ = make_queues();
  std::vector<std::pair<std::int64_t, work_key>> running_;
  std::vector<message> in_flight_;

  std::vector<std::unique_ptr<dispatch_queue>> make_queues() {
    dispatch_settings settings;
    settings.no_upstream_grace = milliseconds(60'000);
    std::vector<std::unique_ptr<dispatch_queue>> list;
    for (unsigned n = 0; n < 2; ++n)
      list.push_back(std::make_unique<dispatch_queue>(
          settings, pools_[n], n + 1,
          [n](time_point, service_id,
              std::span<const host_id> requested) -> std::optional<host_id> {
            if (n == 0 || !requested.empty()) return std::nullopt;
            return host_id{1};
          }));
    return list;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(slot_exchange_test)

// Guards against slots that are never released, and requests that run twice, when slot messages
// are lost or duplicated.
BOOST_AUTO_TEST_CASE(requests_run_once_and_slots_return_under_loss) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    lending_pair pair(seed, 20, 20);
    pair.run(20'000, 100);
    BOOST_TEST(pair.ended.size() == 100U, "seed " << seed);
    for (const auto& [key, count] : pair.ended)
      BOOST_TEST(count == 1U);
    BOOST_TEST(pair.refused == 0U);
    BOOST_TEST(pair.lender().outstanding(service) == 0U, "seed " << seed);
    BOOST_TEST(pair.max_running <= 2U, "seed " << seed);
  }
}

// Guards against a request that starts on a borrowed slot after the upstream's lease has ended.
BOOST_AUTO_TEST_CASE(no_start_on_borrowed_slot_after_lease_end) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    lending_pair pair(seed, 10, 10);
    pair.run(5'000, 1'000);
    pair.is_renewing = false;
    pair.run(10'000, 1'000);
    // The last renewal was at 4,500 ms.
    BOOST_TEST((pair.last_start < at_ms(6'500)), "seed " << seed);
  }
}

// Guards against slots that stay lent to a borrower that has crashed.
BOOST_AUTO_TEST_CASE(slots_of_dead_borrower_return) {
  lending_pair pair(1, 0, 0);
  pair.run(1'000, 1'000);
  wire::peer_packet ask;
  ask.set_from_host(7);
  ask.set_from_incarnation(7);
  ask.mutable_slot_ask()->set_service_id(service.value);
  ask.mutable_slot_ask()->set_sequence(1);
  pair.run(20'000, 0);
  const auto before = pair.lender().outstanding(service);
  pair.lending_queue().on_peer_message(pair.now(), ask);
  BOOST_TEST(pair.lender().outstanding(service) == before + 1);
  pair.lending_queue().on_host_gone(pair.now(), host_id{7});
  BOOST_TEST(pair.lender().outstanding(service) == before);
}

BOOST_AUTO_TEST_SUITE_END()
