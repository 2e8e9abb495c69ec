#pragma once

#include "zinniarelay/core/time.h"
#include "zinniarelay/operate/operator_transport.h"

#include <functional>
#include <string>
#include <vector>

namespace zinnia {

/// How long an operator's action is tried.
struct attempt_limits {
  milliseconds budget{10'000}; ///< no attempt begins after it
  milliseconds pause{300};     ///< between attempts, which lets an election end
};

/// Time as the client sees it.
struct client_clock {
  std::function<time_point()> now;
  std::function<void(milliseconds)> pause;
};

/// Carries out an operator's action: finds the leader and repeats the request
/// under the same operation id until an answer settles it (docs/design.md R27).
class operator_client {
public:
  /// `hosts` must not be empty; `transport` must outlive the client.
  operator_client(operator_transport& transport, std::vector<endpoint> hosts, attempt_limits limits,
                  client_clock clock);

  /// Each fails with error_kind::unavailable when no answer settled the
  /// action: it may have been carried out, and repeating it with the same
  /// operation id is safe.
  result<wire::apply_reply> apply(const wire::apply_request& request);
  result<wire::apply_reply> drain(const wire::drain_request& request);
  result<wire::members_reply> change_members(const wire::members_request& request);
  result<wire::diff_reply> diff(const wire::apply_request& request);

private:
  enum class verdict { settled, ask_leader, ask_again };

  template <class Reply, class Call, class Judge>
  result<Reply> until_settled(Call call, Judge judge);

  static verdict judge_apply(const wire::apply_reply& reply, const endpoint& asked);

  operator_transport& transport_;
  std::vector<endpoint> hosts_;
  attempt_limits limits_;
  client_clock clock_;
};

} // namespace zinnia
