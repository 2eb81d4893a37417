#include <algorithm>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/readers.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t min_readers = 3;
/// One more reader for each this many live instances.
constexpr std::size_t instances_per_reader = 96;

/// Readers that send source updates to one instance, so that the
/// failure of one has no effect.
constexpr std::size_t readers_per_instance = 2;

constexpr seconds subscription_lifetime{3};

/// An instance whose latest confirmation is older reads the source itself. This
/// age plus one read is less than the time within which a change must be in
/// force.
constexpr milliseconds max_confirmation_age{1500};

} // namespace

reader_selection::reader_selection(instance_address own) : self(own) {}

void reader_selection::update(const membership& members, time_point now)
{
    const std::size_t live = members.live_count(now);
    const std::size_t count =
        std::max(min_readers, 1 + live / instances_per_reader);
    std::vector<instance_address> readers =
        members.owners("source", count, now);
    this->is_reader =
        std::find(readers.begin(), readers.end(), this->self) != readers.end();
    // Each instance ranks the readers by a hash that includes its own address,
    // which spreads the load.
    const auto rank = [this](instance_address reader)
    {
        return hash_text("reader", (std::uint64_t{reader} << 32U) | this->self);
    };
    std::sort(readers.begin(), readers.end(),
              [&rank](instance_address left, instance_address right)
              {
                  return rank(left) < rank(right);
              });
    std::erase(readers, this->self);
    while (readers.size() > readers_per_instance)
    {
        readers.pop_back();
    }
    this->assigned_readers = std::move(readers);
}

bool reader_selection::must_read(time_point now) const
{
    const bool has_subscriber = std::any_of(
        this->subscription_times.begin(), this->subscription_times.end(),
        [now](const auto& subscription)
        {
            return now - subscription.second < subscription_lifetime;
        });
    return this->is_reader || has_subscriber || !this->last_confirmed ||
           now - *this->last_confirmed > max_confirmation_age;
}

void reader_selection::add_subscriber(instance_address subscriber,
                                      time_point now)
{
    this->subscription_times[subscriber] = now;
}

std::vector<instance_address>
reader_selection::active_subscribers(time_point now)
{
    std::erase_if(this->subscription_times,
                  [now](const auto& subscription)
                  {
                      return now - subscription.second >= subscription_lifetime;
                  });
    std::vector<instance_address> addresses;
    addresses.reserve(this->subscription_times.size());
    for (const auto& [address, subscribed_at] : this->subscription_times)
    {
        addresses.push_back(address);
    }
    return addresses;
}

void reader_selection::record_confirmation(duration age, time_point now)
{
    const time_point confirmed_at = now - age;
    if (!this->last_confirmed || confirmed_at > *this->last_confirmed)
    {
        this->last_confirmed = confirmed_at;
    }
}

std::optional<duration> reader_selection::confirmation_age(time_point now) const
{
    if (!this->last_confirmed)
    {
        return std::nullopt;
    }
    return now - *this->last_confirmed;
}

} // namespace medlarbarrow::core
