#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <medlarbarrow/core/server_holds.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Holds kept; above the number of servers that the fleet is designed for. The
/// one that ends first is dropped to make room.
constexpr std::size_t max_holds = 16384;

using real_seconds = std::chrono::duration<double>;

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

std::optional<duration> parse_retry_after(std::string_view text)
{
    const std::string number(trim(text));
    double value = 0.0;
    const char* end = number.data() + number.size();
    const auto parsed = std::from_chars(number.data(), end, value);
    if (parsed.ptr != end || parsed.ec == std::errc::invalid_argument)
    {
        return std::nullopt;
    }
    if (parsed.ec == std::errc::result_out_of_range)
    {
        // A valid number that is too large or too close to 0 for a double.
        value = std::strtod(number.c_str(), nullptr);
    }
    else if (!std::isfinite(value))
    {
        return std::nullopt;
    }
    if (value < 0.0)
    {
        return std::nullopt;
    }
    const real_seconds wait =
        std::min<real_seconds>(real_seconds(value), max_hold);
    return std::chrono::ceil<duration>(wait);
}

void server_holds::hold(const std::string& server,
                        std::uint64_t started,
                        duration wait,
                        time_point now)
{
    if (wait <= duration(0))
    {
        return;
    }
    const time_point until = now + std::min(wait, max_hold);
    const auto known = this->holds.find(server);
    if (known != this->holds.end() && started <= known->second.started)
    {
        if (started == known->second.started)
        {
            known->second.until = std::max(known->second.until, until);
        }
        return;
    }
    if (this->holds.size() >= max_holds)
    {
        this->drop_ended(now);
    }
    if (this->holds.size() >= max_holds)
    {
        this->holds.erase(
            std::min_element(this->holds.begin(), this->holds.end(),
                             [](const auto& left, const auto& right)
                             {
                                 return left.second.until < right.second.until;
                             }));
    }
    this->holds[server] = {started, until};
}

duration server_holds::remaining(const std::string& server,
                                 std::uint64_t started,
                                 time_point now) const
{
    const auto known = this->holds.find(server);
    if (known == this->holds.end() || started > known->second.started)
    {
        return duration(0);
    }
    return std::max(known->second.until - now, duration(0));
}

bool server_holds::drop_ended(time_point now)
{
    std::erase_if(this->holds,
                  [now](const auto& named_hold)
                  {
                      return named_hold.second.until <= now;
                  });
    return this->holds.empty();
}

} // namespace medlarbarrow::core
