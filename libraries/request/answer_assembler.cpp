#include "zinniarelay/request/answer_assembler.h"

#include "zinniarelay/request/content_digest.h"

#include <algorithm>

namespace zinnia {
namespace {

// One answer of the executing host and one of a takeover.
constexpr std::size_t max_candidates = 2;

} // namespace

std::size_t answer_assembler::candidate::first_missing_byte() const {
  if (received.empty() || received.begin()->first > 0) return 0;
  return received.begin()->second;
}

bool answer_assembler::candidate::is_complete() const {
  return bytes.empty() || first_missing_byte() == bytes.size();
}

bool answer_assembler::candidate::insert(std::size_t begin, std::size_t end) {
  auto next = received.upper_bound(begin);
  if (next != received.begin()) {
    const auto previous = std::prev(next);
    if (previous->second >= end) return false;
    if (previous->second >= begin) {
      begin = previous->first;
      next = received.erase(previous);
    }
  }
  while (next != received.end() && next->first <= end) {
    end = std::max(end, next->second);
    next = received.erase(next);
  }
  received.emplace(begin, end);
  return true;
}

answer_assembler::candidate* answer_assembler::candidate_for(const wire::answer_part& part) {
  const auto existing = std::find_if(candidates_.begin(), candidates_.end(),
                                     [&](const auto& it) { return it.digest == part.digest(); });
  if (existing != candidates_.end())
    return existing->bytes.size() == part.total_length() ? &*existing : nullptr;
  if (candidates_.size() >= max_candidates)
    candidates_.erase(
        std::min_element(candidates_.begin(), candidates_.end(), [](const auto& a, const auto& b) {
          return a.last_part_sequence < b.last_part_sequence;
        }));
  auto& added = candidates_.emplace_back();
  added.digest = part.digest();
  added.bytes.resize(part.total_length());
  return &added;
}

part_result answer_assembler::add(const wire::answer_part& part) {
  const std::size_t total = part.total_length();
  const std::size_t begin = part.offset();
  const std::size_t size = part.data().size();
  if (total > max_size_ || begin > total || size > total - begin || (size == 0 && total > 0) ||
      part.digest().size() != content_digest_size)
    return part_result::refused;
  auto* target = candidate_for(part);
  if (target == nullptr) return part_result::refused;
  target->last_part_sequence = ++part_sequence_;
  if (begin == 0 && part.has_content()) target->content = part.content();
  if (size > 0) {
    if (!target->insert(begin, begin + size)) return part_result::duplicate;
    std::copy(part.data().begin(), part.data().end(),
              target->bytes.begin() + static_cast<std::ptrdiff_t>(begin));
  }
  if (!target->is_complete()) return part_result::progress;
  const bool is_intact = content_digest(target->bytes) == target->digest;
  if (is_intact) {
    answer_ = std::move(target->bytes);
    content_ = target->content;
  }
  candidates_.erase(candidates_.begin() + (target - candidates_.data()));
  return is_intact ? part_result::complete : part_result::refused;
}

const answer_assembler::candidate* answer_assembler::longest_prefix_candidate() const {
  const auto it =
      std::max_element(candidates_.begin(), candidates_.end(), [](const auto& a, const auto& b) {
        return a.first_missing_byte() < b.first_missing_byte();
      });
  return it == candidates_.end() ? nullptr : &*it;
}

std::string answer_assembler::digest() const {
  const auto* selected = longest_prefix_candidate();
  return selected == nullptr ? std::string() : selected->digest;
}

std::uint32_t answer_assembler::resume_offset() const {
  const auto* selected = longest_prefix_candidate();
  return selected == nullptr ? 0 : static_cast<std::uint32_t>(selected->first_missing_byte());
}

} // namespace zinnia
