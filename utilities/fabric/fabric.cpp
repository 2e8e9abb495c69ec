#include "fabric.h"

#include "common/stop_signal.h"

#include <Poco/Net/PollSet.h>
#include <glog/logging.h>

#include <sstream>

namespace zinnia::utilities {
namespace {

// Limits the time for which one busy socket delays the other sockets.
constexpr int max_datagrams_per_round = 256;
constexpr milliseconds max_poll_wait{50};

} // namespace

result<fabric> fabric::create(options opts) {
  if (opts.hosts.empty())
    return failure(error_kind::malformed, "--host", "expected at least one entry host");
  std::vector<udp_socket> sockets;
  ZINNIA_TRY(listening, udp_socket::create(opts.listen));
  sockets.push_back(std::move(listening));
  for (const auto& it : opts.services) {
    ZINNIA_TRY(socket, udp_socket::create(it));
    sockets.push_back(std::move(socket));
  }
  std::optional<udp_socket> control;
  if (opts.control) {
    ZINNIA_TRY(socket, udp_socket::create(*opts.control));
    control = std::move(socket);
  }
  return fabric(std::move(opts), std::move(sockets), std::move(control));
}

fabric::fabric(options opts, std::vector<udp_socket> sockets, std::optional<udp_socket> control)
    : options_(std::move(opts)), sockets_(std::move(sockets)), control_(std::move(control)),
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
    microseconds wait = max_poll_wait;
    if (!delayed_.empty())
      wait = std::clamp<microseconds>(delayed_.top().due - monotonic_now(), microseconds(0), wait);
    // poll() counts in whole milliseconds. Rounding up avoids a busy loop until a delivery is due.
    const auto rounded = std::chrono::ceil<milliseconds>(wait);
    polled.poll(Poco::Timespan(microseconds(rounded).count()));
    const auto now = monotonic_now();
    receive_commands();
    receive_from_callers(now);
    receive_from_hosts(now);
    send_due(monotonic_now());
  }
  LOG(INFO) << "fabric ends: " << counters_text();
}

void fabric::receive_from_callers(time_point now) {
  for (std::size_t n = 0; n < options_.services.size(); ++n) {
    for (int remaining = max_datagrams_per_round; remaining > 0; --remaining) {
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
      schedule(now, host_socket, *host, frame.SerializeAsString());
    }
  }
}

void fabric::receive_from_hosts(time_point now) {
  for (int remaining = max_datagrams_per_round; remaining > 0; --remaining) {
    const auto packet = sockets_[host_socket].receive();
    if (!packet) return;
    if (cut_hosts_.count(packet->sender) > 0) {
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
                                 << ": frame for an unknown service: " << service.to_string();
      continue;
    }
    const endpoint caller{frame.caller_address(), static_cast<std::uint16_t>(frame.caller_port())};
    schedule(now, socket->second, caller, frame.payload());
  }
}

void fabric::receive_commands() {
  if (!control_) return;
  while (const auto packet = control_->receive()) {
    const auto sender = packet->sender;
    const auto reply = execute(std::string(packet->payload));
    control_->send(sender, reply + '\n');
  }
}

void fabric::schedule(time_point now, std::size_t socket, const endpoint& receiver,
                      const std::string& payload) {
  const auto times = options_.faults.delivery_times(now, random_);
  if (times.empty()) ++counters_.lost;
  for (const auto due : times) {
    delivery packet{due, next_sequence_++, socket, receiver, payload};
    if (due <= now)
      send(packet);
    else
      delayed_.push(std::move(packet));
  }
}

void fabric::send_due(time_point now) {
  while (!delayed_.empty() && delayed_.top().due <= now) {
    send(delayed_.top());
    delayed_.pop();
  }
}

void fabric::send(const delivery& packet) {
  // As on a real link, a cut also drops the packets that are in transit.
  if (packet.socket == host_socket && cut_hosts_.count(packet.receiver) > 0) {
    ++counters_.cut;
    return;
  }
  ++(packet.socket == host_socket ? counters_.to_hosts : counters_.to_callers);
  if (!sockets_[packet.socket].send(packet.receiver, packet.payload)) ++counters_.not_sent;
}

std::optional<endpoint> fabric::choose_host() {
  std::vector<endpoint> usable;
  for (const auto& it : options_.hosts)
    if (withdrawn_hosts_.count(it) == 0) usable.push_back(it);
  if (usable.empty()) return std::nullopt;
  return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(random_)];
}

std::string fabric::execute(const std::string& command) {
  std::istringstream in(command);
  std::string verb;
  std::string argument;
  double value = 0;
  in >> verb >> argument >> value;
  LOG(INFO) << "command: " << verb << ' ' << argument;
  if (verb == "counters") return counters_text();
  if (verb == "set") return change_fault(argument, value);
  return change_host(verb, argument);
}

std::string fabric::change_host(const std::string& verb, const std::string& address) {
  const auto host = endpoint::parse(address);
  if (!host) return "error: " + address + " is not an endpoint";
  if (std::find(options_.hosts.begin(), options_.hosts.end(), host.value()) == options_.hosts.end())
    return "error: " + address + " is no host of this fabric";
  if (verb == "cut") {
    cut_hosts_.insert(host.value());
  } else if (verb == "withdraw") {
    withdrawn_hosts_.insert(host.value());
  } else if (verb == "restore") {
    cut_hosts_.erase(host.value());
    withdrawn_hosts_.erase(host.value());
  } else {
    return "error: unknown command " + verb + "; expected cut, withdraw, restore, set or counters";
  }
  return "ok";
}

std::string fabric::change_fault(const std::string& fault, double value) {
  auto& faults = options_.faults;
  if (fault == "loss")
    faults.loss = value;
  else if (fault == "duplicate")
    faults.duplicate = value;
  else if (fault == "reorder")
    faults.reorder = value;
  else if (fault == "delay")
    faults.delay = milliseconds(static_cast<std::int64_t>(value));
  else if (fault == "jitter")
    faults.jitter = milliseconds(static_cast<std::int64_t>(value));
  else
    return "error: unknown fault " + fault;
  return "ok";
}

std::string fabric::counters_text() const {
  std::ostringstream out;
  out << "to_hosts=" << counters_.to_hosts << " to_callers=" << counters_.to_callers
      << " lost=" << counters_.lost << " cut=" << counters_.cut
      << " malformed=" << counters_.malformed << " not_sent=" << counters_.not_sent
      << " waiting=" << delayed_.size();
  return out.str();
}

} // namespace zinnia::utilities
