#pragma once

#include "caller.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinnia {

/// What a part did to an answer being assembled.
enum class part_effect {
  progress,
  duplicate, ///< all its bytes were known
  complete,  ///< the answer is whole and matches its digest
  refused,   ///< inconsistent, too long, or the assembled answer fails its digest
};

/// Assembles the parts of the answer to one request. Only parts of one digest
/// and length are put together, and only a whole answer that matches its digest
/// is delivered (docs/design.md R14). The caller of `add` passes only parts of
/// one flow and request number.
class answer_assembler {
public:
  /// Answers longer than `longest` bytes are refused.
  explicit answer_assembler(std::size_t longest) : longest_(longest) {}

  part_effect add(const wire::answer_part& part);

  /// The digest of the answer that has come furthest; empty when there is none.
  std::string digest() const;

  /// The lowest byte of that answer that is missing.
  std::uint32_t resume_offset() const;

  /// The whole answer and its content information, after `complete`.
  const std::string& answer() const { return answer_; }
  const wire::content_info& content() const { return content_; }

private:
  // Two hosts may answer an idempotent request differently, one as a takeover.
  // Each answer is assembled on its own.
  struct candidate {
    std::string digest;
    std::string bytes;
    std::map<std::size_t, std::size_t> received; // begin to end, not adjacent
    wire::content_info content;
    std::uint64_t last_progress = 0;

    std::size_t lowest_missing() const;
    bool is_whole() const;
    bool insert(std::size_t begin, std::size_t end);
  };

  candidate* candidate_for(const wire::answer_part& part);
  const candidate* furthest() const;

  std::size_t longest_;
  std::uint64_t steps_ = 0;
  std::vector<candidate> candidates_;
  std::string answer_;
  wire::content_info content_;
};

} // namespace zinnia
