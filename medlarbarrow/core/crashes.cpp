#include <algorithm>
#include <medlarbarrow/core/crashes.hpp>
#include <medlarbarrow/core/hash.hpp>

namespace medlarbarrow::core
{

namespace
{

/// If `entries` has reached `limit`, removes the entry for which `time_of` is
/// earliest.
template <class Map, class TimeOf>
void evict_if_full(Map& entries, std::size_t limit, TimeOf time_of)
{
    if (entries.size() < limit)
    {
        return;
    }
    entries.erase(std::min_element(
        entries.begin(), entries.end(),
        [time_of](const auto& left, const auto& right)
        {
            return time_of(left.second) < time_of(right.second);
        }));
}

} // namespace

outbox crash_owner::receive(const instance_id& sender,
                            const crash_report& report,
                            const ownership& owners,
                            time_point now)
{
    if (!owners.has_majority(bucket_of(report.request), now))
    {
        return {};
    }
    suspect& record = this->find_or_add_suspect(report.request);
    reporter& sender_record = find_or_add_reporter(record, sender.name);
    if (report.nonce < sender_record.latest_nonce)
    {
        return {};
    }
    if (report.nonce == sender_record.latest_nonce)
    {
        return {{sender.name, sender_record.answer}};
    }
    add_server(record, report.service + '/' + report.server);
    record.expires_at = now + crash_lifetime;
    sender_record.latest_nonce = report.nonce;
    sender_record.answer = decide_retry(record, sender.name, now);
    sender_record.answer.nonce = report.nonce;
    sender_record.answer.request = report.request;
    if (!record.blocked)
    {
        return {{sender.name, sender_record.answer}};
    }
    outbox verdicts;
    for (reporter& receiver : record.reporters)
    {
        receiver.answer = sender_record.answer;
        receiver.answer.nonce = receiver.latest_nonce;
        verdicts.push_back({receiver.instance, receiver.answer});
    }
    return verdicts;
}

void crash_owner::add_server(suspect& record, const std::string& server)
{
    const auto it =
        std::find(record.servers.begin(), record.servers.end(), server);
    if (it == record.servers.end() &&
        record.servers.size() < crash_server_limit)
    {
        record.servers.push_back(server);
    }
    record.blocked = record.servers.size() >= crash_server_limit;
}

// Permits one retry of a suspect at a time, because concurrent retries could
// each crash a server before the first crash is reported. A report by the
// holder of the permit replaces its own permit.
crash_verdict crash_owner::decide_retry(suspect& record,
                                        const std::string& instance,
                                        time_point now)
{
    crash_verdict verdict;
    if (record.blocked)
    {
        verdict.blocked = true;
        verdict.lease = crash_lifetime;
        return verdict;
    }
    if (record.permit_expires_at > now && record.permit_holder != instance)
    {
        verdict.blocked = true;
        return verdict;
    }
    record.permit_holder = instance;
    record.permit_expires_at = now + crash_permit_lease;
    verdict.lease = crash_permit_lease;
    return verdict;
}

crash_owner::reporter&
crash_owner::find_or_add_reporter(suspect& record, const std::string& instance)
{
    const auto it =
        std::find_if(record.reporters.begin(), record.reporters.end(),
                     [&instance](const reporter& candidate)
                     {
                         return candidate.instance == instance;
                     });
    if (it != record.reporters.end())
    {
        return *it;
    }
    if (record.reporters.size() >= crash_reporter_limit)
    {
        record.reporters.erase(record.reporters.begin());
    }
    record.reporters.push_back({instance, 0, {}});
    return record.reporters.back();
}

crash_owner::suspect& crash_owner::find_or_add_suspect(const digest& request)
{
    const auto it = this->suspects.find(request);
    if (it != this->suspects.end())
    {
        return it->second;
    }
    evict_if_full(this->suspects, crash_suspect_limit,
                  [](const suspect& candidate)
                  {
                      return candidate.expires_at;
                  });
    return this->suspects[request];
}

std::vector<crash_verdict> crash_owner::active_blocks(std::size_t limit,
                                                      time_point now) const
{
    std::vector<crash_verdict> verdicts;
    for (const auto& [request, record] : this->suspects)
    {
        if (record.blocked && record.expires_at > now)
        {
            verdicts.push_back({0, request, true, record.expires_at - now});
        }
    }
    std::sort(verdicts.begin(), verdicts.end(),
              [](const crash_verdict& left, const crash_verdict& right)
              {
                  return left.lease > right.lease;
              });
    if (verdicts.size() > limit)
    {
        verdicts.resize(limit);
    }
    return verdicts;
}

void crash_owner::tick(const ownership& owners, time_point now)
{
    std::erase_if(this->suspects,
                  [&owners, now](const auto& entry)
                  {
                      return entry.second.expires_at <= now ||
                             !owners.has_majority(bucket_of(entry.first), now);
                  });
}

std::size_t crash_owner::suspect_count() const
{
    return this->suspects.size();
}

crash_blocks::crash_blocks(nonce first_nonce) : last_nonce(first_nonce) {}

crash_report crash_blocks::report(const digest& request,
                                  const std::string& service,
                                  const std::string& server,
                                  time_point now)
{
    evict_if_full(this->pending_reports, crash_suspect_limit,
                  [](const pending_report& candidate)
                  {
                      return candidate.reported_at;
                  });
    this->pending_reports[request] = {++this->last_nonce, now};
    return {this->last_nonce, request, service, server};
}

// Ignores a permission that arrives after its lease, because the owner may have
// given it to another reporter since.
std::optional<bool> crash_blocks::receive(const crash_verdict& verdict,
                                          time_point now)
{
    if (verdict.blocked && verdict.lease > duration::zero())
    {
        evict_if_full(this->block_ends, crash_suspect_limit,
                      [](time_point block_end)
                      {
                          return block_end;
                      });
        this->block_ends[verdict.request] =
            now + std::min(verdict.lease, crash_lifetime);
    }
    const auto it = this->pending_reports.find(verdict.request);
    if (it == this->pending_reports.end() ||
        it->second.latest_nonce != verdict.nonce)
    {
        return std::nullopt;
    }
    const bool in_time = now - it->second.reported_at < crash_permit_lease;
    this->pending_reports.erase(it);
    return !verdict.blocked && in_time;
}

bool crash_blocks::is_blocked(const digest& request, time_point now) const
{
    const auto it = this->block_ends.find(request);
    return it != this->block_ends.end() && it->second > now;
}

void crash_blocks::tick(time_point now)
{
    std::erase_if(this->block_ends,
                  [now](const auto& entry)
                  {
                      return entry.second <= now;
                  });
    std::erase_if(this->pending_reports,
                  [now](const auto& entry)
                  {
                      return now - entry.second.reported_at >=
                             crash_permit_lease;
                  });
}

std::size_t crash_blocks::size() const
{
    return this->block_ends.size();
}

} // namespace medlarbarrow::core
