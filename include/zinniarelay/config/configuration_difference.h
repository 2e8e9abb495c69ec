#pragma once

#include "operator.pb.h"

#include <cstdint>
#include <google/protobuf/repeated_ptr_field.h>
#include <string>
#include <utility>

namespace zinnia {

/// Compares the declared services with those in force and returns one entry for
/// each added or removed service and each changed field, ordered by service name.
google::protobuf::RepeatedPtrField<wire::difference>
differences(const wire::configuration& in_force,
            const google::protobuf::RepeatedPtrField<wire::service_declaration>& declared);

/// One line "name address methods ..." of a declaration, for the audit trail.
std::string describe(const wire::service_declaration& declaration);

/// The name and the fields in which two declarations of a service differ, before
/// and after the change.
std::pair<std::string, std::string> describe_change(const wire::service_declaration& before,
                                                    const wire::service_declaration& after);

/// What an item of a configuration adds to its digest.
std::uint64_t digest_of(const wire::service_entry& entry);
std::uint64_t digest_of(const wire::drain_entry& entry);

/// The digest of a configuration from its revision and the sum over its items.
std::uint64_t digest_of(std::uint64_t revision, std::uint64_t sum_of_items);

} // namespace zinnia
