#include "fabric.h"

#include "common/stop_signal.h"

#include <Poco/Net/PollSet.h>
#include <glog/logging.h>

#include <sstream>

namespace zinnia::utilities {
namespace {

// Bounds the time for which one busy socket keeps the others waiting.
constexpr int burst = 256; // datagrams
constexpr milliseconds idle_wait{50};

} // namespace

result<fabric> fabric::create(options chosen) {
  if (chosen.hosts.empty())
    return failure(error_kind::malformed, "--host", "expected at least one entry host");
  std::vector<udp_socket> sockets;
  ZINNIA_TRY(host_socket, udp_socket::create(chosen.listen));
  sockets.push_back(std::move(host_socket));
  for (const auto& it : chosen.services) {
    ZINNIA_TRY(socket, udp_socket::create(it));
    sockets.push_back(std::move(socket));
  }
  std::optional<udp_socket> control;
  if (chosen.control) {
    ZINNIA_TRY(socket, udp_socket::create(*chosen.control));
    control = std::move(socket);
  }
  return fabric(std::move(chosen), std::move(sockets), std::move(control));
}

fabric::fabric(options chosen, std::vector<udp_socket> sockets, std::optional<udp_socket> control)
    : options_(std::move(chosen)), sockets_(std::move(sockets)), control_(std::move(control)),
      random_(options_.seed) {
  for (std::size_t n = 0; n < options_.services.size(); ++n)
    socket_of_service_[options_.services[n]] = n + 1;
}

void fabric::run() {
  Poco::Net::PollSet polled;
  for (const auto& it : sockets_)
    polled.add(it.poco(), Poco::Net::PollSet::POLL_READ);
  if (control_) polled.add(control_->poco(), Poco::Net::PollSet::POLL_READ);
  while (!is_stop_requested()) {
    microseconds wait = idle_wait;
    if (!waiting_.empty())
      wait = std::clamp<microseconds>(waiting_.top().due - monotonic_now(), microseconds(0), wait);
    // The poll takes whole milliseconds; rounding up avoids spinning before a delivery is due.
    const auto rounded = std::chrono::ceil<milliseconds>(wait);
    polled.poll(Poco::Timespan(microseconds(rounded).count()));
    const auto now = monotonic_now();
    take_commands();
    take_from_callers(now);
    take_from_hosts(now);
    deliver_due(monotonic_now());
  }
  LOG(INFO) << "fabric ends: " << report();
}

void fabric::take_from_callers(time_point now) {
  for (std::size_t n = 0; n < options_.services.size(); ++n) {
    for (int left = burst; left > 0; --left) {
      const auto packet = sockets_[n + 1].receive();
      if (!packet) break;
      const auto host = choose_host();
      if (!host) {
        ++counters_.lost;
        continue;
      }
      wire::fabric_frame frame;
      frame.set_caller_address(packet->sender.address);
      frame.set_caller_port(packet->sender.port);
      frame.set_service_address(options_.services[n].address);
      frame.set_service_port(options_.services[n].port);
      frame.set_payload(packet->payload.data(), packet->payload.size());
      admit(now, host_side, *host, frame.SerializeAsString());
    }
  }
}

void fabric::take_from_hosts(time_point now) {
  for (int left = burst; left > 0; --left) {
    const auto packet = sockets_[host_side].receive();
    if (!packet) return;
    if (cut_.count(packet->sender) > 0) {
      ++counters_.cut;
      continue;
    }
    wire::fabric_frame frame;
    if (!frame.ParseFromArray(packet->payload.data(), static_cast<int>(packet->payload.size()))) {
      ++counters_.malformed;
      continue;
    }
    const endpoint service{frame.service_address(),
                           static_cast<std::uint16_t>(frame.service_port())};
    const auto socket = socket_of_service_.find(service);
    if (socket == socket_of_service_.end()) {
      ++counters_.malformed;
      LOG_EVERY_N(WARNING, 1000) << packet->sender.to_string()
                                 << ": frame for a service that the fabric does not know: "
                                 << service.to_string();
      continue;
    }
    const endpoint caller{frame.caller_address(), static_cast<std::uint16_t>(frame.caller_port())};
    admit(now, socket->second, caller, frame.payload());
  }
}

void fabric::take_commands() {
  if (!control_) return;
  while (const auto packet = control_->receive()) {
    const auto sender = packet->sender;
    const auto reply = execute(std::string(packet->payload));
    control_->send(sender, reply + '\n');
  }
}

void fabric::admit(time_point now, std::size_t socket, const endpoint& receiver,
                   const std::string& payload) {
  const auto times = options_.faults.deliveries(now, random_);
  if (times.empty()) ++counters_.lost;
  for (const auto due : times) {
    delivery it{due, order_++, socket, receiver, payload};
    if (due <= now)
      send(it);
    else
      waiting_.push(std::move(it));
  }
}

void fabric::deliver_due(time_point now) {
  while (!waiting_.empty() && waiting_.top().due <= now) {
    send(waiting_.top());
    waiting_.pop();
  }
}

void fabric::send(const delivery& it) {
  // A cut applies to packets that were delayed before it, as on a real link.
  if (it.socket == host_side && cut_.count(it.receiver) > 0) {
    ++counters_.cut;
    return;
  }
  ++(it.socket == host_side ? counters_.to_hosts : counters_.to_callers);
  if (!sockets_[it.socket].send(it.receiver, it.payload)) ++counters_.not_sent;
}

std::optional<endpoint> fabric::choose_host() {
  std::vector<endpoint> usable;
  for (const auto& it : options_.hosts)
    if (withdrawn_.count(it) == 0) usable.push_back(it);
  if (usable.empty()) return std::nullopt;
  return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(random_)];
}

std::string fabric::execute(const std::string& command) {
  std::istringstream in(command);
  std::string verb;
  std::string name;
  double value = 0;
  in >> verb >> name >> value;
  LOG(INFO) << "command: " << verb << ' ' << name;
  if (verb == "counters") return report();
  if (verb == "set") return change_fault(name, value);
  return change_host(verb, name);
}

std::string fabric::change_host(const std::string& verb, const std::string& name) {
  const auto host = endpoint::parse(name);
  if (!host) return "error: " + name + " is not an endpoint";
  if (std::find(options_.hosts.begin(), options_.hosts.end(), host.value()) == options_.hosts.end())
    return "error: " + name + " is no host of this fabric";
  if (verb == "cut") {
    cut_.insert(host.value());
  } else if (verb == "withdraw") {
    withdrawn_.insert(host.value());
  } else if (verb == "restore") {
    cut_.erase(host.value());
    withdrawn_.erase(host.value());
  } else {
    return "error: unknown command " + verb + "; expected cut, withdraw, restore, set or counters";
  }
  return "ok";
}

std::string fabric::change_fault(const std::string& name, double value) {
  auto& faults = options_.faults;
  if (name == "loss")
    faults.loss = value;
  else if (name == "duplicate")
    faults.duplicate = value;
  else if (name == "reorder")
    faults.reorder = value;
  else if (name == "delay")
    faults.delay = milliseconds(static_cast<std::int64_t>(value));
  else if (name == "jitter")
    faults.jitter = milliseconds(static_cast<std::int64_t>(value));
  else
    return "error: unknown fault " + name;
  return "ok";
}

std::string fabric::report() const {
  std::ostringstream out;
  out << "to_hosts=" << counters_.to_hosts << " to_callers=" << counters_.to_callers
      << " lost=" << counters_.lost << " cut=" << counters_.cut
      << " malformed=" << counters_.malformed << " not_sent=" << counters_.not_sent
      << " waiting=" << waiting_.size();
  return out.str();
}

} // namespace zinnia::utilities
