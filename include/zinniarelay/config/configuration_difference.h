#pragma once

#include "operator.pb.h"

#include <cstdint>
#include <google/protobuf/repeated_ptr_field.h>
#include <string>
#include <utility>

namespace zinnia {

/// Compares the declared services with those in force. Returns one entry for each
/// added or removed service and each changed field, ordered by service name.
google::protobuf::RepeatedPtrField<wire::difference>
differences(const wire::configuration& in_force,
            const google::protobuf::RepeatedPtrField<wire::service_declaration>& declared);

/// Returns a declaration as one line "name address=... methods=...", for the audit trail.
std::string describe(const wire::service_declaration& declaration);

/// Returns the name of a service and the fields in which its two declarations differ,
/// as text before and after the change.
std::pair<std::string, std::string> describe_change(const wire::service_declaration& before,
                                                    const wire::service_declaration& after);

/// Returns the digest of one item of a configuration; an inactive drain has digest 0.
std::uint64_t digest_of(const wire::service_entry& entry);
std::uint64_t digest_of(const wire::drain_entry& entry);

/// Returns the digest of a configuration from its revision and the sum of its item digests.
std::uint64_t digest_of(std::uint64_t revision, std::uint64_t item_digest_sum);

} // namespace zinnia
