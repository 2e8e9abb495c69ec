#include "zinniarelay/caller/caller_session.h"
#include "zinniarelay/request/content_digest.h"

#include <algorithm>

// Downloads of caller_session: ranges of one content, requested a few at a time.

namespace zinnia {

void caller_session::on_event(time_point now, const download_submitted& event,
                              caller_effects& out) {
  auto& download = downloads_[event.id];
  download.method = event.method;
  download.payload = event.payload;
  download.deadline = event.deadline;
  if (event.payload.size() > settings_.max_payload_size ||
      event.method.size() > settings_.max_method_size) {
    end_call(event.id, wire::outcome_not_run, wire::reason_unset, {}, out);
    return;
  }
  plan_ranges(now, event.id, download);
}

void caller_session::plan_ranges(time_point now, call_id id, download_state& download) {
  // The first answer contains the total length. Until it arrives, only the first range is
  // requested.
  const std::uint32_t max_in_flight = download.info ? settings_.ranges_in_flight : 1;
  while (download.in_flight < max_in_flight) {
    const bool is_fully_planned = download.info
                                      ? download.next_offset >= download.info->total_length()
                                      : download.next_offset > 0;
    if (is_fully_planned) return;
    operation work;
    work.owner = id;
    work.is_range = true;
    work.restart_count = download.restart_count;
    work.kind = wire::idempotent;
    work.method = download.method;
    work.payload = download.payload;
    work.range_offset = download.next_offset;
    work.range_length = settings_.range_length;
    if (download.info) work.content_version = download.info->version();
    work.deadline = download.deadline;
    work.not_before = now;
    waiting_.push_back(std::move(work));
    download.next_offset += settings_.range_length;
    ++download.in_flight;
  }
}

void caller_session::restart_download(time_point now, download_map::iterator it,
                                      caller_effects& out) {
  auto& download = it->second;
  if (download.restart_count >= settings_.max_restarts) {
    end_call(it->first, wire::outcome_unknown, wire::reason_content_changed, {}, out);
    return;
  }
  ++counters_.restarts;
  ++download.restart_count;
  download.info.reset();
  download.bytes.clear();
  download.next_offset = 0;
  download.received = 0;
  download.in_flight = 0;
  plan_ranges(now, it->first, download);
}

void caller_session::on_range_answer(time_point now, const operation& work,
                                     const answer_assembler& assembler, caller_effects& out) {
  const auto it = downloads_.find(work.owner);
  if (it == downloads_.end() || it->second.restart_count != work.restart_count) return;
  auto& download = it->second;
  const auto& info = assembler.content();
  const auto& bytes = assembler.answer();
  --download.in_flight;
  if (info.total_length() > settings_.max_content_size) {
    end_call(it->first, wire::outcome_unknown, wire::reason_upstream_error, {}, out);
    return;
  }
  if (!download.info) {
    download.info = info;
    download.bytes.resize(info.total_length());
  }
  const bool is_same = info.version() == download.info->version() &&
                       info.total_length() == download.info->total_length() &&
                       info.digest() == download.info->digest() && !info.version().empty();
  const auto total = download.info->total_length();
  const auto expected = work.range_offset >= total
                            ? 0
                            : std::min<std::uint64_t>(work.range_length, total - work.range_offset);
  if (!is_same || bytes.size() != expected) {
    restart_download(now, it, out);
    return;
  }
  std::copy(bytes.begin(), bytes.end(),
            download.bytes.begin() + static_cast<std::ptrdiff_t>(work.range_offset));
  download.received += bytes.size();
  if (download.received < total) {
    plan_ranges(now, it->first, download);
    return;
  }
  if (content_digest(download.bytes) != download.info->digest()) {
    restart_download(now, it, out);
    return;
  }
  end_call(it->first, wire::outcome_answered, wire::reason_unset, std::move(download.bytes), out);
}

} // namespace zinnia
