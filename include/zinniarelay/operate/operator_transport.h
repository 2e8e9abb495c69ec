#pragma once

#include "operator.pb.h"
#include "zinniarelay/core/endpoint.h"
#include "zinniarelay/core/result.h"

namespace zinnia {

/// Sends the calls of schema/operator.proto to a control host. A call fails with
/// error_kind::unavailable when no reply arrived; the host may have executed the call
/// nevertheless.
class operator_transport {
public:
  operator_transport() = default;
  virtual ~operator_transport() = default;
  operator_transport(const operator_transport&) = delete;
  operator_transport& operator=(const operator_transport&) = delete;

  virtual result<wire::apply_reply> apply(const endpoint& host,
                                          const wire::apply_request& request) = 0;
  virtual result<wire::diff_reply> diff(const endpoint& host,
                                        const wire::apply_request& request) = 0;
  virtual result<wire::apply_reply> drain(const endpoint& host,
                                          const wire::drain_request& request) = 0;
  virtual result<wire::apply_reply> evacuate(const endpoint& host,
                                             const wire::evacuation_request& request) = 0;
  virtual result<wire::members_reply> change_members(const endpoint& host,
                                                     const wire::members_request& request) = 0;
};

} // namespace zinnia
