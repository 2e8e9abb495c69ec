#include "zinniarelay/request/answer_parts.h"

namespace zinnia {

std::vector<wire::answer_part> split_answer(const request_key& key, std::string_view answer,
                                            const std::string& digest, std::size_t offset,
                                            std::uint32_t max_parts) {
  std::vector<wire::answer_part> parts;
  // Only a damaged or malicious packet has an offset beyond the end of the answer.
  if (offset >= answer.size()) offset = 0;
  do {
    const auto data = answer.substr(offset, max_part_data_size);
    auto& part = parts.emplace_back();
    part.set_flow(key.flow.value);
    part.set_request_number(key.number);
    part.set_digest(digest);
    part.set_total_length(static_cast<std::uint32_t>(answer.size()));
    part.set_offset(static_cast<std::uint32_t>(offset));
    part.set_data(std::string(data));
    offset += data.size();
  } while (offset < answer.size() && parts.size() < max_parts);
  return parts;
}

} // namespace zinnia
