#include "zinniarelay/request/answer_assembler.h"

#include "zinniarelay/request/content_digest.h"

#include <algorithm>

namespace zinnia {
namespace {

// The executing host and one takeover.
constexpr std::size_t most_candidates = 2;

} // namespace

std::size_t answer_assembler::candidate::lowest_missing() const {
  if (received.empty() || received.begin()->first > 0) return 0;
  return received.begin()->second;
}

bool answer_assembler::candidate::is_whole() const {
  return bytes.empty() || lowest_missing() == bytes.size();
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
  const auto known = std::find_if(candidates_.begin(), candidates_.end(),
                                  [&](const auto& it) { return it.digest == part.digest(); });
  if (known != candidates_.end())
    return known->bytes.size() == part.total_length() ? &*known : nullptr;
  if (candidates_.size() >= most_candidates)
    candidates_.erase(
        std::min_element(candidates_.begin(), candidates_.end(), [](const auto& a, const auto& b) {
          return a.last_progress < b.last_progress;
        }));
  auto& fresh = candidates_.emplace_back();
  fresh.digest = part.digest();
  fresh.bytes.resize(part.total_length());
  return &fresh;
}

part_effect answer_assembler::add(const wire::answer_part& part) {
  const std::size_t total = part.total_length();
  const std::size_t begin = part.offset();
  const std::size_t size = part.data().size();
  if (total > longest_ || begin > total || size > total - begin || (size == 0 && total > 0) ||
      part.digest().size() != content_digest_size)
    return part_effect::refused;
  auto* target = candidate_for(part);
  if (target == nullptr) return part_effect::refused;
  target->last_progress = ++steps_;
  if (begin == 0 && part.has_content()) target->content = part.content();
  if (size > 0) {
    if (!target->insert(begin, begin + size)) return part_effect::duplicate;
    std::copy(part.data().begin(), part.data().end(),
              target->bytes.begin() + static_cast<std::ptrdiff_t>(begin));
  }
  if (!target->is_whole()) return part_effect::progress;
  const bool is_intact = content_digest(target->bytes) == target->digest;
  if (is_intact) {
    answer_ = std::move(target->bytes);
    content_ = target->content;
  }
  candidates_.erase(candidates_.begin() + (target - candidates_.data()));
  return is_intact ? part_effect::complete : part_effect::refused;
}

const answer_assembler::candidate* answer_assembler::furthest() const {
  const auto it =
      std::max_element(candidates_.begin(), candidates_.end(), [](const auto& a, const auto& b) {
        return a.lowest_missing() < b.lowest_missing();
      });
  return it == candidates_.end() ? nullptr : &*it;
}

std::string answer_assembler::digest() const {
  const auto* it = furthest();
  return it == nullptr ? std::string() : it->digest;
}

std::uint32_t answer_assembler::resume_offset() const {
  const auto* it = furthest();
  return it == nullptr ? 0 : static_cast<std::uint32_t>(it->lowest_missing());
}

} // namespace zinnia
