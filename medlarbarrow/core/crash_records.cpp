#include <algorithm>
#include <medlarbarrow/core/crash_records.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of different servers that a request must crash before it is blocked.
constexpr std::size_t crash_limit = 3;

/// Time after its last crash or trial in which a request stays blocked. Then
/// one is tried again, since only a success lifts the block for good.
constexpr seconds block_time{60};

/// Time after the last crash or trial in which a server may still show that it
/// lives. Suspicion keeps requests away from it for part of that time.
constexpr seconds settle_time{5};

/// Age from which crashes no longer count.
constexpr seconds record_lifetime{300};

/// From this number of records on, those whose last crash is older than
/// `block_time` are dropped.
constexpr std::size_t max_records = 1024;

/// Most servers of a record that are kept and passed on. More than the limit,
/// since some of them may still turn out to live.
constexpr std::size_t max_crashes = 2 * crash_limit;

/// Reports of ends that came at the same time may arrive this far apart. Also
/// the least age of a connection before a crash of its server.
constexpr milliseconds report_spread{100};

/// Two reports of a server's crash within this time are of the same one: a
/// server takes longer to come back.
constexpr seconds same_crash_time{1};

/// Bytes that a suspect takes in a message, and each of its servers beside the
/// name.
constexpr std::size_t suspect_overhead = 12;
constexpr std::size_t server_overhead = 7;

std::size_t size_of(const crash_suspect& suspect)
{
    std::size_t bytes = suspect_overhead;
    for (const suspected_crash& crash : suspect.crashes)
    {
        bytes += server_overhead + crash.server.size();
    }
    return bytes;
}

} // namespace

std::size_t crash_records::count_crashes(const digest_record& record)
{
    return static_cast<std::size_t>(std::count_if(record.crashes.begin(),
                                                  record.crashes.end(),
                                                  [](const crash& known)
                                                  {
                                                      return !known.refuted;
                                                  }));
}

// Drops records once there are many, those without a recent crash first.
void crash_records::drop_old_records(time_point now)
{
    if (this->records.size() < max_records)
    {
        return;
    }
    std::erase_if(this->records,
                  [now](const auto& entry)
                  {
                      return now - entry.second.last_crash > block_time;
                  });
    if (this->records.size() >= max_records)
    {
        this->records.erase(std::min_element(
            this->records.begin(), this->records.end(),
            [](const auto& left, const auto& right)
            {
                return left.second.last_crash < right.second.last_crash;
            }));
    }
    this->find_suspected_servers();
}

void crash_records::record(const crash_event& crash, time_point now)
{
    const time_point at = now - crash.age;
    if (crash.content_digest == 0 || crash.age > record_lifetime)
    {
        return;
    }
    if (!this->records.contains(crash.content_digest))
    {
        this->drop_old_records(now);
    }
    digest_record& known = this->records[crash.content_digest];
    if (known.last_success && at <= *known.last_success + report_spread)
    {
        return;
    }
    std::erase_if(known.crashes,
                  [now](const auto& earlier)
                  {
                      return now - earlier.at > record_lifetime;
                  });
    this->add_crash(known, {crash.server, at, false});
}

// A crash of the same server that was reported before, or has been refuted
// since, changes nothing.
void crash_records::add_crash(digest_record& known, const crash& added)
{
    const auto same_server =
        std::find_if(known.crashes.begin(), known.crashes.end(),
                     [&added](const crash& earlier)
                     {
                         return earlier.server == added.server;
                     });
    if (same_server != known.crashes.end())
    {
        if (added.at <= same_server->at + same_crash_time)
        {
            return;
        }
        known.crashes.erase(same_server);
    }
    if (known.crashes.size() >= max_crashes)
    {
        const auto refuted =
            std::find_if(known.crashes.begin(), known.crashes.end(),
                         [](const crash& earlier)
                         {
                             return earlier.refuted;
                         });
        known.crashes.erase(
            refuted == known.crashes.end() ? known.crashes.begin() : refuted);
    }
    known.crashes.push_back(added);
    known.last_crash = std::max(known.last_crash, added.at);
    time_point& latest = this->suspected_servers[added.server];
    latest = std::max(latest, added.at);
}

void crash_records::find_suspected_servers()
{
    this->suspected_servers.clear();
    for (const auto& [digest, known] : this->records)
    {
        for (const crash& suspected : known.crashes)
        {
            if (!suspected.refuted)
            {
                time_point& latest = this->suspected_servers[suspected.server];
                latest = std::max(latest, suspected.at);
            }
        }
    }
}

void crash_records::record_success(std::uint64_t content_digest, time_point now)
{
    const auto known = this->records.find(content_digest);
    if (known != this->records.end())
    {
        known->second.crashes.clear();
        known->second.last_success = now;
    }
}

// A report of an answer that the server gave just before it crashed may arrive
// after that of the crash.
void crash_records::record_life_sign(const life_sign& sign)
{
    const auto suspected_server = this->suspected_servers.find(sign.server);
    if (suspected_server == this->suspected_servers.end() ||
        sign.connected_at + report_spread >= suspected_server->second)
    {
        return;
    }
    bool is_suspected = false;
    for (auto& [digest, known] : this->records)
    {
        for (crash& suspected : known.crashes)
        {
            if (suspected.server == sign.server)
            {
                suspected.refuted |=
                    sign.connected_at + report_spread < suspected.at &&
                    sign.sent_at > suspected.at + report_spread;
                is_suspected |= !suspected.refuted;
            }
        }
    }
    if (!is_suspected)
    {
        this->suspected_servers.erase(suspected_server);
    }
}

void crash_records::record_trial(std::uint64_t content_digest, time_point now)
{
    const auto known = this->records.find(content_digest);
    if (known != this->records.end())
    {
        known->second.last_trial = now;
    }
}

// The block ends after a while for one request, whose grant renews it.
request_block crash_records::block_of(std::uint64_t content_digest,
                                      time_point now) const
{
    const auto known = this->records.find(content_digest);
    if (known == this->records.end() ||
        count_crashes(known->second) < crash_limit)
    {
        return {};
    }
    const time_point last =
        std::max(known->second.last_crash, known->second.last_trial);
    return {now - last < block_time,
            std::max<duration>(last + settle_time - now, duration(0))};
}

// The crashes of a record that still count, for a message.
crash_suspect crash_records::make_suspect(std::uint64_t digest,
                                          const digest_record& known,
                                          time_point now)
{
    crash_suspect suspect;
    suspect.content_digest = digest;
    for (const crash& suspected : known.crashes)
    {
        if (!suspected.refuted && now - suspected.at <= record_lifetime)
        {
            suspect.crashes.push_back({suspected.server, now - suspected.at});
        }
    }
    return suspect;
}

std::vector<crash_suspect> crash_records::suspects(std::size_t min_servers,
                                                   time_point now)
{
    std::vector<crash_suspect> found;
    for (const auto& [digest, known] : this->records)
    {
        if (count_crashes(known) < min_servers)
        {
            continue;
        }
        crash_suspect suspect = make_suspect(digest, known, now);
        if (suspect.crashes.size() >= min_servers)
        {
            found.push_back(std::move(suspect));
        }
    }
    std::sort(found.begin(), found.end(),
              [](const crash_suspect& left, const crash_suspect& right)
              {
                  return left.content_digest < right.content_digest;
              });
    std::rotate(found.begin(),
                std::find_if(found.begin(), found.end(),
                             [this](const crash_suspect& suspect)
                             {
                                 return suspect.content_digest >=
                                        this->next_suspect;
                             }),
                found.end());
    std::size_t bytes = 0;
    const auto first_left_out =
        std::find_if(found.begin(), found.end(),
                     [&bytes](const crash_suspect& suspect)
                     {
                         bytes += size_of(suspect);
                         return bytes > max_suspects_bytes;
                     });
    this->next_suspect =
        first_left_out == found.end() ? 0 : first_left_out->content_digest;
    found.erase(first_left_out, found.end());
    return found;
}

void crash_records::merge(const std::vector<crash_suspect>& suspects,
                          time_point now)
{
    for (const crash_suspect& suspect : suspects)
    {
        for (const suspected_crash& crash : suspect.crashes)
        {
            this->record({suspect.content_digest, crash.server, crash.age},
                         now);
        }
    }
}

} // namespace medlarbarrow::core
