#pragma once

#include "flow.pb.h"
#include "zinniarelay/core/time.h"

#include <cstdint>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <utility>

namespace zinnia::controld {

/// A call of an entry host that waits for updates.
class update_call final : public grpc::ServerUnaryReactor {
public:
  using cancel_handler = std::function<void(std::uint64_t ticket)>;

  update_call(const wire::news_request& request, wire::news_reply& reply, cancel_handler on_cancel)
      : request_(request), reply_(reply), on_cancel_(std::move(on_cancel)),
        received_(monotonic_now()) {}

  const wire::news_request& request() const { return request_; }
  wire::news_reply& reply() { return reply_; }
  /// Time of the arrival of the request.
  time_point received() const { return received_; }
  std::uint64_t ticket() const { return ticket_; }
  void set_ticket(std::uint64_t value) { ticket_ = value; }

private:
  void OnCancel() override { on_cancel_(ticket_); }
  // gRPC makes no further use of the call.
  void OnDone() override { delete this; }

  const wire::news_request& request_;
  wire::news_reply& reply_;
  cancel_handler on_cancel_;
  time_point received_;
  std::uint64_t ticket_ = 0;
};

} // namespace zinnia::controld
