#include <algorithm>
#include <medlarbarrow/core/crashes.hpp>
#include <medlarbarrow/core/hash.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Removes the entry for which `end_of` is earliest once `entries` is full.
template <class Map, class End>
void make_room(Map& entries, std::size_t limit, End end_of)
{
    if (entries.size() < limit)
    {
        return;
    }
    entries.erase(std::min_element(entries.begin(), entries.end(),
                                   [end_of](const auto& left, const auto& right)
                                   {
                                       return end_of(left.second) <
                                              end_of(right.second);
                                   }));
}

} // namespace

outbox crash_owner::receive(const instance_id& from,
                            const crash_report& report,
                            const ownership& owners,
                            time_point now)
{
    if (!owners.has_majority(bucket_of(report.request), now))
    {
        return {};
    }
    suspect& in = this->entry_of(report.request);
    reporter& asker = reporter_of(in, from.name);
    if (report.nonce < asker.newest)
    {
        return {};
    }
    if (report.nonce == asker.newest)
    {
        return {{from.name, asker.answer}};
    }
    note_server(in, report.service + '/' + report.server);
    in.ends = now + crash_lifetime;
    asker.newest = report.nonce;
    asker.answer = decide(in, from.name, now);
    asker.answer.nonce = report.nonce;
    asker.answer.request = report.request;
    if (!in.blocked)
    {
        return {{from.name, asker.answer}};
    }
    outbox verdicts;
    for (reporter& each : in.reporters)
    {
        each.answer = asker.answer;
        each.answer.nonce = each.newest;
        verdicts.push_back({each.instance, each.answer});
    }
    return verdicts;
}

void crash_owner::note_server(suspect& in, const std::string& server)
{
    const auto known = std::find(in.servers.begin(), in.servers.end(), server);
    if (known == in.servers.end() && in.servers.size() < crash_server_limit)
    {
        in.servers.push_back(server);
    }
    in.blocked = in.servers.size() >= crash_server_limit;
}

// One retry at a time: several would take as many servers before the first
// of them is reported. A report of the holder ends its own permit.
crash_verdict
crash_owner::decide(suspect& in, const std::string& instance, time_point now)
{
    crash_verdict verdict;
    if (in.blocked)
    {
        verdict.blocked = true;
        verdict.lease = crash_lifetime;
        return verdict;
    }
    if (in.permit_until > now && in.permit_holder != instance)
    {
        verdict.blocked = true;
        return verdict;
    }
    in.permit_holder = instance;
    in.permit_until = now + crash_permit_lease;
    verdict.lease = crash_permit_lease;
    return verdict;
}

crash_owner::reporter& crash_owner::reporter_of(suspect& in,
                                                const std::string& instance)
{
    const auto at = std::find_if(in.reporters.begin(), in.reporters.end(),
                                 [&instance](const reporter& each)
                                 {
                                     return each.instance == instance;
                                 });
    if (at != in.reporters.end())
    {
        return *at;
    }
    if (in.reporters.size() >= crash_reporter_limit)
    {
        in.reporters.erase(in.reporters.begin());
    }
    in.reporters.push_back({instance, 0, {}});
    return in.reporters.back();
}

crash_owner::suspect& crash_owner::entry_of(const digest& request)
{
    const auto at = this->entries.find(request);
    if (at != this->entries.end())
    {
        return at->second;
    }
    make_room(this->entries, crash_suspect_limit,
              [](const suspect& each)
              {
                  return each.ends;
              });
    return this->entries[request];
}

std::vector<crash_verdict> crash_owner::blocked(std::size_t limit,
                                                time_point now) const
{
    std::vector<crash_verdict> verdicts;
    for (const auto& [request, in] : this->entries)
    {
        if (in.blocked && in.ends > now)
        {
            verdicts.push_back({0, request, true, in.ends - now});
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
    std::erase_if(this->entries,
                  [&owners, now](const auto& each)
                  {
                      return each.second.ends <= now ||
                             !owners.has_majority(bucket_of(each.first), now);
                  });
}

std::size_t crash_owner::suspects() const
{
    return this->entries.size();
}

crash_blocks::crash_blocks(nonce first_nonce) : last_nonce(first_nonce) {}

crash_report crash_blocks::report(const digest& request,
                                  const std::string& service,
                                  const std::string& server,
                                  time_point now)
{
    make_room(this->questions, crash_suspect_limit,
              [](const asked& each)
              {
                  return each.at;
              });
    this->questions[request] = {++this->last_nonce, now};
    return {this->last_nonce, request, service, server};
}

// Leave that arrives after its lease is none: the owner may have given it to
// another reporter since.
std::optional<bool> crash_blocks::receive(const crash_verdict& verdict,
                                          time_point now)
{
    if (verdict.blocked && verdict.lease > duration::zero())
    {
        make_room(this->blocks, crash_suspect_limit,
                  [](time_point ends)
                  {
                      return ends;
                  });
        this->blocks[verdict.request] =
            now + std::min(verdict.lease, crash_lifetime);
    }
    const auto at = this->questions.find(verdict.request);
    if (at == this->questions.end() || at->second.newest != verdict.nonce)
    {
        return std::nullopt;
    }
    const bool in_time = now - at->second.at < crash_permit_lease;
    this->questions.erase(at);
    return !verdict.blocked && in_time;
}

bool crash_blocks::is_blocked(const digest& request, time_point now) const
{
    const auto at = this->blocks.find(request);
    return at != this->blocks.end() && at->second > now;
}

void crash_blocks::tick(time_point now)
{
    std::erase_if(this->blocks,
                  [now](const auto& each)
                  {
                      return each.second <= now;
                  });
    std::erase_if(this->questions,
                  [now](const auto& each)
                  {
                      return now - each.second.at >= crash_permit_lease;
                  });
}

std::size_t crash_blocks::size() const
{
    return this->blocks.size();
}

} // namespace medlarbarrow::core
