#include "model/processor_time.h"
#include "zinniarelay/core/random.h"
#include "zinniarelay/request/request_executor.h"
#include "zinniarelay/token/key_ring.h"

#include <algorithm>
#include <cstdio>
#include <glog/logging.h>
#include <malloc.h>
#include <string>
#include <sys/resource.h>
#include <vector>

// Measures the memory of acknowledged requests and the processor time of one
// request in the executor. One line per measure: measure | value | bound.

namespace {

using namespace zinnia;
using bench::processor_microseconds;

// One entry process holds 200,000 open flows in less than 256 MB. Records of acknowledged requests
// may take a quarter of this.
constexpr double max_resident_megabytes = 64;
constexpr double max_bytes_per_record = max_resident_megabytes * 1024 * 1024 / 200'000;

// 3,000 new flows a second, with one request each, may take a tenth of a core.
constexpr double max_microseconds_per_request = 100'000.0 / 3'000;

// Packets that arrive during a tick wait until it ends.
constexpr double max_microseconds_per_tick = 5'000;

// Returns the bytes in use on the heap. Unlike the resident size, this figure does not include
// memory that earlier measures have freed.
double heap_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double peak_resident_megabytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

key_ring make_ring() {
  token_key key;
  key.generation = 1;
  key.secret.fill(7);
  return key_ring::create({key}, 1).value();
}

class workload {
public:
  explicit workload(const key_ring& ring)
      : executor_(
            request_executor::create({}, host_id{1}, incarnation_id{100},
                                     [&ring](const flow_token& token) { return ring.seal(token); })
                .value()) {
    request_.set_request_number(1);
    request_.set_method("certify");
    request_.set_attempt(1);
    request_.set_deadline_ms(1'000);
    request_.set_payload(std::string(100, 'x'));
  }

  // Runs one request of a new flow: admits, starts, answers and acknowledges it.
  void run_one() {
    flow_token token;
    token.service = service_id{1};
    token.executing_host = host_id{1};
    token.executing_incarnation = incarnation_id{100};
    token.record_epoch = executor_.record_epoch(now_);
    token.flow = flow_id{engine_()};
    const service_policy policy{service_id{1}, wire::non_idempotent, milliseconds(1'000), 10};
    const attempt_key key{{token.flow, 1}, 1};
    effect_count_ +=
        executor_.on_request(now_, token, request_, policy, {}, takeover_mode::none).size();
    CHECK(executor_.on_dispatch_started(now_, key) == start_permission::granted);
    effect_count_ += executor_.on_dispatch_result(now_, key, answer_).size();
    executor_.on_ack(now_, token, 1);
  }

  // Returns the longest of the ticks that process the whole table once, in microseconds.
  double longest_tick() {
    double longest = 0;
    for (std::size_t n = 0; n < request_table::shard_count; ++n) {
      const auto before = processor_microseconds();
      effect_count_ += executor_.on_tick(now_).size();
      longest = std::max(longest, processor_microseconds() - before);
    }
    return longest;
  }

  std::size_t records() const { return executor_.table().records(); }

private:
  request_executor executor_;
  random_engine engine_{1};
  time_point now_{std::chrono::seconds(1'000)};
  wire::service_request request_;
  dispatch_result answer_{dispatch_outcome::done, std::string(200, 'y'), {}};
  std::size_t effect_count_ = 0;
};

bool print(const std::string& measure, double value, const char* unit, double bound) {
  std::printf("%s | %.1f %s | %.1f %s%s\n", measure.c_str(), value, unit, bound, unit,
              value <= bound ? "" : " exceeded");
  return value <= bound;
}

bool measure_memory(const key_ring& ring, std::size_t flows) {
  const auto before = heap_bytes();
  workload work(ring);
  while (work.records() < flows)
    work.run_one();
  const auto bytes = (heap_bytes() - before) / static_cast<double>(flows);
  return print("memory per acknowledged request, " + std::to_string(flows) + " flows", bytes, "B",
               max_bytes_per_record);
}

bool measure_time(const key_ring& ring, std::size_t flows) {
  constexpr std::size_t batch = 1'000;
  constexpr std::size_t batches = 50;
  workload work(ring);
  while (work.records() < flows)
    work.run_one();
  std::vector<double> times;
  for (std::size_t n = 0; n < batches; ++n) {
    const auto before = processor_microseconds();
    for (std::size_t i = 0; i < batch; ++i)
      work.run_one();
    times.push_back((processor_microseconds() - before) / batch);
  }
  std::sort(times.begin(), times.end());
  const bool is_tick_within =
      print("processor time of the longest tick, " + std::to_string(flows) + " flows",
            work.longest_tick(), "us", max_microseconds_per_tick);
  return print("processor time per request, median, " + std::to_string(flows) + " flows",
               times[batches / 2], "us", max_microseconds_per_request) &&
         is_tick_within;
}

} // namespace

int main() {
  const auto ring = make_ring();
  // The largest table is measured first, because the peak memory is that of the whole process.
  bool is_within = measure_memory(ring, 200'000);
  is_within = print("peak resident memory of the process, 200000 flows", peak_resident_megabytes(),
                    "MB", max_resident_megabytes) &&
              is_within;
  for (const std::size_t flows : {100'000U, 50'000U, 25'000U, 12'500U})
    is_within = measure_memory(ring, flows) && is_within;
  for (const std::size_t flows : {1'000U, 50'000U, 200'000U, 800'000U})
    is_within = measure_time(ring, flows) && is_within;
  return is_within ? 0 : 1;
}
