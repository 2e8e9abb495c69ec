#pragma once

#include "zinniarelay/core/endpoint.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include <memory>

namespace zinnia::utilities {

/// Returns a channel that shares no connection with other channels and doesn't use gRPC's
/// retries (docs/design.md R7).
inline std::shared_ptr<grpc::Channel> open_channel(const endpoint& target) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
  return grpc::CreateCustomChannel(target.to_string(), grpc::InsecureChannelCredentials(),
                                   arguments);
}

} // namespace zinnia::utilities
