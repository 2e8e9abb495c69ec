#include "announcer.h"

#include "common/grpc_channel.h"

#include <glog/logging.h>

namespace zinnia::utilities {
namespace {

constexpr milliseconds default_renewal{500};
// A frozen host must not hold up the search for another one longer than a lease of 2 s.
constexpr milliseconds call_timeout{500};
// Hosts with different views of their zone may redirect in a circle.
constexpr int most_redirects = 4;

} // namespace

announcer::announcer(options chosen) : options_(std::move(chosen)), pause_(default_renewal) {
  connect(options_.entries.front());
}

void announcer::connect(const endpoint& target) {
  target_ = target;
  stub_ = wire::registration::NewStub(open_channel(target));
}

void announcer::try_next_entry() {
  next_entry_ = (next_entry_ + 1) % options_.entries.size();
  connect(options_.entries[next_entry_]);
}

wire::announcement_reply announcer::announce(stay intention, std::uint32_t outstanding) {
  auto message = options_.announced;
  message.set_leaving(intention == stay::leaving);
  message.set_reported_outstanding(lagged(outstanding));
  pause_ = default_renewal;
  auto reply = call(message);
  for (int n = 0; n < most_redirects && reply.result() == wire::announcement_reply::redirected;
       ++n) {
    const auto host = endpoint::parse(reply.dispatching_host());
    if (!host) {
      LOG(ERROR) << target_.to_string() << " redirects to " << host.error();
      break;
    }
    LOG(INFO) << target_.to_string() << " redirects to " << host.value().to_string();
    connect(host.value());
    reply = call(message);
  }
  if (reply.result() == wire::announcement_reply::accepted) {
    if (reply.renew_ms() > 0) pause_ = milliseconds(reply.renew_ms());
    return reply;
  }
  LOG_EVERY_N(WARNING, 10) << target_.to_string() << " does not accept the announcement: "
                           << wire::announcement_reply::status_Name(reply.result()) << ' '
                           << reply.cause();
  try_next_entry();
  // The lease has not been renewed, so the next host is asked at once, but not in a tight loop.
  pause_ = default_renewal / 5;
  return reply;
}

wire::announcement_reply announcer::call(const wire::announcement& message) {
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + call_timeout);
  wire::announcement_reply reply;
  const auto status = stub_->Announce(&context, message, &reply);
  if (!status.ok()) {
    reply.Clear();
    reply.set_result(wire::announcement_reply::malformed);
    reply.set_cause(status.error_message());
  }
  return reply;
}

std::uint32_t announcer::lagged(std::uint32_t outstanding) {
  loads_.push_back(outstanding);
  while (loads_.size() > options_.report_lag + 1)
    loads_.pop_front();
  return loads_.front();
}

} // namespace zinnia::utilities
