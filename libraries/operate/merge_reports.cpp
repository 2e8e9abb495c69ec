#include "zinniarelay/operate/merge_reports.h"

#include <map>
#include <tuple>

namespace zinnia {

wire::status_overview merge_status(const std::vector<wire::status_reply>& replies,
                                   const std::vector<std::string>& unreachable) {
  wire::status_overview out;
  std::map<std::uint32_t, const wire::host_status*> newest;
  const wire::configuration* configuration = nullptr;
  for (const auto& reply : replies) {
    auto& control = *out.add_controls() = reply;
    control.clear_hosts();
    control.clear_configuration();
    for (const auto& host : reply.hosts()) {
      auto& report = newest[host.host()];
      if (report == nullptr || host.age_ms() < report->age_ms()) report = &host;
    }
    if (configuration == nullptr || reply.configuration().revision() > configuration->revision())
      configuration = &reply.configuration();
  }
  for (const auto& [id, host] : newest)
    *out.add_hosts() = *host;
  if (configuration != nullptr) *out.mutable_configuration() = *configuration;
  for (const auto& it : unreachable)
    out.add_unreachable(it);
  return out;
}

wire::upstreams_overview upstreams_of(const wire::status_overview& status) {
  // During a change of membership two hosts can report the same upstream.
  std::map<std::uint64_t, wire::located_upstream> newest;
  for (const auto& host : status.hosts())
    for (const auto& upstream : host.upstreams()) {
      const auto [it, is_new] = newest.try_emplace(upstream.incarnation());
      if (!is_new && it->second.age_ms() <= host.age_ms()) continue;
      it->second.set_host(host.host());
      it->second.set_zone(host.zone());
      it->second.set_age_ms(host.age_ms());
      *it->second.mutable_upstream() = upstream;
    }
  std::map<std::tuple<std::string, std::uint32_t, std::uint64_t>, const wire::located_upstream*>
      ordered;
  for (const auto& [incarnation, upstream] : newest)
    ordered[{upstream.upstream().service(), upstream.zone(), incarnation}] = &upstream;
  wire::upstreams_overview out;
  for (const auto& [key, upstream] : ordered)
    *out.add_upstreams() = *upstream;
  return out;
}

wire::audit_reply merge_audit(const std::vector<wire::audit_reply>& replies) {
  std::map<std::uint64_t, const wire::audit_record*> records;
  for (const auto& reply : replies)
    for (const auto& record : reply.records())
      records[record.index()] = &record;
  wire::audit_reply out;
  for (const auto& [index, record] : records)
    *out.add_records() = *record;
  return out;
}

} // namespace zinnia
