#include "announcer.h"

#include "common/grpc_channel.h"

#include <glog/logging.h>

namespace zinnia::utilities {
namespace {

constexpr milliseconds default_renewal_delay{500};
// A frozen host must not delay the search for another host by more than a lease of 2 s.
constexpr milliseconds call_timeout{500};
// Hosts with different views of their zone may redirect in a loop.
constexpr int max_redirects = 4;

} // namespace

announcer::announcer(options opts)
    : options_(std::move(opts)), renewal_delay_(default_renewal_delay) {
  connect(options_.entry_hosts.front());
}

void announcer::connect(const endpoint& target) {
  target_ = target;
  stub_ = wire::registration::NewStub(open_channel(target));
}

void announcer::connect_to_next_entry() {
  next_entry_ = (next_entry_ + 1) % options_.entry_hosts.size();
  connect(options_.entry_hosts[next_entry_]);
}

wire::announcement_reply announcer::announce(intention intent, std::uint32_t outstanding) {
  auto message = options_.announcement;
  message.set_leaving(intent == intention::leaving);
  message.set_reported_outstanding(delayed_load(outstanding));
  renewal_delay_ = default_renewal_delay;
  auto reply = send(message);
  for (int n = 0; n < max_redirects && reply.result() == wire::announcement_reply::redirected;
       ++n) {
    const auto host = endpoint::parse(reply.dispatching_host());
    if (!host) {
      LOG(ERROR) << target_.to_string() << " redirects to " << host.error();
      break;
    }
    LOG(INFO) << target_.to_string() << " redirects to " << host.value().to_string();
    connect(host.value());
    reply = send(message);
  }
  if (reply.result() == wire::announcement_reply::accepted) {
    if (reply.renew_ms() > 0) renewal_delay_ = milliseconds(reply.renew_ms());
    return reply;
  }
  LOG_EVERY_N(WARNING, 10) << target_.to_string() << " does not accept the announcement: "
                           << wire::announcement_reply::status_Name(reply.result()) << ' '
                           << reply.cause();
  connect_to_next_entry();
  // The lease has not been renewed. The next host is tried soon, but not in a busy loop.
  renewal_delay_ = default_renewal_delay / 5;
  return reply;
}

wire::announcement_reply announcer::send(const wire::announcement& message) {
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

std::uint32_t announcer::delayed_load(std::uint32_t outstanding) {
  recent_loads_.push_back(outstanding);
  while (recent_loads_.size() > options_.report_lag + 1)
    recent_loads_.pop_front();
  return recent_loads_.front();
}

} // namespace zinnia::utilities
