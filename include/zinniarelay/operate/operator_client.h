#pragma once

#include "zinniarelay/core/time.h"
#include "zinniarelay/operate/operator_transport.h"

#include <functional>
#include <string>
#include <vector>

namespace zinnia {

/// Limits of the attempts at one operator's action.
struct attempt_limits {
  milliseconds timeout{10'000};  ///< no attempt starts after this time
  milliseconds retry_delay{300}; ///< between attempts; gives an election time to end
};

/// The clock of the client, replaceable in tests.
struct client_clock {
  std::function<time_point()> now;
  std::function<void(milliseconds)> sleep;
};

/// Executes an operator's action: finds the leader and repeats the request with the same
/// operation id until a reply is final (docs/design.md R27).
class operator_client {
public:
  /// `hosts` must not be empty; `transport` must outlive the client.
  operator_client(operator_transport& transport, std::vector<endpoint> hosts, attempt_limits limits,
                  client_clock clock);

  /// Each of these functions returns the final reply, or fails with error_kind::unavailable when
  /// no reply was final. The action may have been executed nevertheless; repeating it with the
  /// same operation id is safe.
  result<wire::apply_reply> apply(const wire::apply_request& request);
  result<wire::apply_reply> drain(const wire::drain_request& request);
  result<wire::apply_reply> evacuate(const wire::evacuation_request& request);
  result<wire::members_reply> change_members(const wire::members_request& request);
  result<wire::diff_reply> diff(const wire::apply_request& request);

private:
  enum class next_step { finish, follow_leader, retry };

  template <class Reply, class Call, class Classify>
  result<Reply> repeat_until_final(Call call, Classify classify);

  static next_step classify_apply(const wire::apply_reply& reply, const endpoint& sender);

  operator_transport& transport_;
  std::vector<endpoint> hosts_;
  attempt_limits limits_;
  client_clock clock_;
};

} // namespace zinnia
