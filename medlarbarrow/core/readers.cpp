#include <algorithm>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/readers.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t least_readers = 3;
/// One reader more for each further this many instances.
constexpr std::size_t instances_per_reader = 24;

/// Readers that one instance hears from: one may fail unnoticed.
constexpr std::size_t readers_heard = 2;

constexpr seconds subscription{3};

/// Without a confirmation this fresh an instance reads for itself. Together
/// with one read it is less than the time in which a change must be in force.
constexpr milliseconds longest_age{1500};

} // namespace

reader_selection::reader_selection(instance_address own) : self(own) {}

void reader_selection::update(const membership& members, time_point now)
{
    const std::size_t live = members.live(now);
    const std::size_t count =
        std::max(least_readers, 1 + live / instances_per_reader);
    std::vector<instance_address> readers =
        members.owners("source", count, now);
    this->is_reader =
        std::find(readers.begin(), readers.end(), this->self) != readers.end();
    // Each instance ranks the readers by itself, which spreads the load.
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
    while (readers.size() > readers_heard)
    {
        readers.pop_back();
    }
    this->heard_from = std::move(readers);
}

bool reader_selection::must_read(time_point now) const
{
    const bool asked = std::any_of(this->asking.begin(), this->asking.end(),
                                   [now](const auto& item)
                                   {
                                       return now - item.second < subscription;
                                   });
    return this->is_reader || asked || !this->newest ||
           now - *this->newest > longest_age;
}

void reader_selection::subscribed(instance_address who, time_point now)
{
    this->asking[who] = now;
}

std::vector<instance_address> reader_selection::subscribers(time_point now)
{
    std::erase_if(this->asking,
                  [now](const auto& item)
                  {
                      return now - item.second >= subscription;
                  });
    std::vector<instance_address> found;
    found.reserve(this->asking.size());
    for (const auto& [address, asked] : this->asking)
    {
        found.push_back(address);
    }
    return found;
}

void reader_selection::confirmed(duration age, time_point now)
{
    const time_point at = now - age;
    if (!this->newest || at > *this->newest)
    {
        this->newest = at;
    }
}

std::optional<duration> reader_selection::age(time_point now) const
{
    if (!this->newest)
    {
        return std::nullopt;
    }
    return now - *this->newest;
}

} // namespace medlarbarrow::core
