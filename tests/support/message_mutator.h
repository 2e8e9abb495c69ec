#pragma once

#include "zinniarelay/core/random.h"

#include <google/protobuf/message.h>

#include <limits>
#include <string>
#include <vector>

namespace zinnia::support {

/// Changes one field of a message, or of a message in it, to an extreme or random value. The result
/// can always be encoded, so it reaches the code behind the decoder.
class message_mutator {
public:
  explicit message_mutator(random_engine& engine) : engine_(engine) {}

  void mutate(google::protobuf::Message& message) {
    const auto* descriptor = message.GetDescriptor();
    if (descriptor->field_count() == 0) return;
    const auto* field = descriptor->field(static_cast<int>(below(descriptor->field_count())));
    const auto& reflection = *message.GetReflection();
    if (field->is_repeated()) return mutate_repeated(message, reflection, *field);
    using descriptor_type = google::protobuf::FieldDescriptor;
    switch (field->cpp_type()) {
    case descriptor_type::CPPTYPE_MESSAGE:
      if (below(4) == 0) return reflection.ClearField(&message, field);
      return mutate(*reflection.MutableMessage(&message, field));
    case descriptor_type::CPPTYPE_UINT64:
      return reflection.SetUInt64(&message, field, number());
    case descriptor_type::CPPTYPE_UINT32:
      return reflection.SetUInt32(&message, field, static_cast<std::uint32_t>(number()));
    case descriptor_type::CPPTYPE_BOOL:
      return reflection.SetBool(&message, field, below(2) == 0);
    case descriptor_type::CPPTYPE_ENUM:
      return reflection.SetEnumValue(&message, field, static_cast<int>(below(9)) - 1);
    case descriptor_type::CPPTYPE_STRING:
      return reflection.SetString(&message, field,
                                  field->type() == descriptor_type::TYPE_BYTES ? text()
                                                                               : printable_text());
    default:
      return reflection.ClearField(&message, field);
    }
  }

  /// Returns random bytes, at most `max_size` of them.
  std::string text(std::size_t max_size = 40) {
    std::string out(below(max_size + 1), '\0');
    for (auto& it : out)
      it = static_cast<char>(below(256));
    return out;
  }

  /// Returns ASCII text, because a decoder refuses other strings.
  std::string printable_text() {
    auto out = text();
    for (auto& it : out)
      it = static_cast<char>(' ' + static_cast<unsigned char>(it) % ('~' - ' ' + 1));
    return out;
  }

  std::uint64_t below(std::uint64_t limit) {
    return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(engine_);
  }
  std::uint64_t below(int limit) { return below(static_cast<std::uint64_t>(limit)); }

private:
  void mutate_repeated(google::protobuf::Message& message,
                       const google::protobuf::Reflection& reflection,
                       const google::protobuf::FieldDescriptor& field) {
    const int size = reflection.FieldSize(message, &field);
    if (field.cpp_type() != google::protobuf::FieldDescriptor::CPPTYPE_MESSAGE)
      return reflection.ClearField(&message, &field);
    switch (below(4)) {
    case 0:
      return reflection.ClearField(&message, &field);
    case 1:
      reflection.AddMessage(&message, &field);
      return;
    case 2:
      if (size > 0) reflection.RemoveLast(&message, &field);
      return;
    default:
      if (size > 0)
        mutate(*reflection.MutableRepeatedMessage(&message, &field, static_cast<int>(below(size))));
    }
  }

  std::uint64_t number() {
    const std::vector<std::uint64_t> extremes{0,
                                              1,
                                              2,
                                              1U << 31U,
                                              std::numeric_limits<std::uint32_t>::max(),
                                              std::numeric_limits<std::uint64_t>::max() - 1,
                                              std::numeric_limits<std::uint64_t>::max()};
    if (below(3) == 0) return below(64);
    return extremes[below(static_cast<std::uint64_t>(extremes.size()))];
  }

  random_engine& engine_;
};

} // namespace zinnia::support
