#include <algorithm>
#include <medlarbarrow/core/recent_leaving_marks.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Time for which a run is passed on. Gossip reaches 830 instances in about
/// ten rounds of 0.5 s.
constexpr std::chrono::seconds mark_lifetime{10};

/// Runs kept; the oldest is dropped first. Each message holds several, so that
/// this many take turns within the lifetime.
constexpr std::size_t max_items = 128;

std::size_t size_of(const leaving_run& run)
{
    return run.server.size() + leaving_run_overhead;
}

} // namespace

void recent_leaving_marks::add(leaving_run run, time_point now)
{
    if (size_of(run) > max_leaving_bytes)
    {
        return;
    }
    std::erase_if(this->items,
                  [&run](const item& known)
                  {
                      return known.run.server == run.server;
                  });
    if (this->items.size() >= max_items)
    {
        this->items.erase(
            std::min_element(this->items.begin(), this->items.end(),
                             [](const item& left, const item& right)
                             {
                                 return left.added_at < right.added_at;
                             }));
    }
    // New runs go first.
    this->items.push_front({std::move(run), now});
}

std::vector<leaving_run> recent_leaving_marks::take(time_point now)
{
    std::erase_if(this->items,
                  [now](const item& known)
                  {
                      return now - known.added_at >= mark_lifetime;
                  });
    std::vector<leaving_run> taken;
    std::size_t bytes = 0;
    while (taken.size() < this->items.size())
    {
        const item& next = this->items.front();
        bytes += size_of(next.run);
        if (bytes > max_leaving_bytes)
        {
            break;
        }
        taken.push_back(next.run);
        std::rotate(this->items.begin(), std::next(this->items.begin()),
                    this->items.end());
    }
    return taken;
}

} // namespace medlarbarrow::core
