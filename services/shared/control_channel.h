#pragma once

#include "zinniarelay/core/time.h"

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

namespace zinnia {

/// Returns a channel to a control host that shares no connection with other channels and doesn't
/// use gRPC's retries. A shared connection pool would return an unresponsive connection again.
/// `connect_timeout` bounds each attempt to connect.
inline std::shared_ptr<grpc::Channel>
open_control_channel(const std::string& address, milliseconds connect_timeout = milliseconds(200)) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(connect_timeout.count()));
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace zinnia
