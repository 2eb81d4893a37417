/// The instance list as text for list_copy: whole, or as the difference from
/// an earlier version. A list of 830 instances takes about 45 KB and changes
/// thousands of times a day; a difference takes about 100 bytes.
#pragma once

#include <cstdint>
#include <deque>
#include <medlarbarrow/core/model.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarbarrow::core
{

/// Greatest number of instances that a list read from text may have.
constexpr std::size_t max_list_instances = 4096;

/// Names that changed with each of the newest versions.
class list_history
{
public:
    /// Notes that `next` replaced `previous`.
    void add(const instance_list& previous, const instance_list& next);

    /// The text that turns version `base` into `current`; the whole list when
    /// the changes since `base` are not known.
    std::string text_since(std::uint64_t base,
                           const instance_list& current) const;

private:
    struct change
    {
        std::uint64_t from = 0;
        std::vector<std::string> names;
    };

    std::deque<change> changes;
};

/// Reads a text of list_history. Nothing when it is damaged, or when it is a
/// difference that does not fit to `base`; its digest shows that.
std::optional<instance_list> read_list_text(std::uint64_t version,
                                            std::string_view text,
                                            const instance_list& base);

} // namespace medlarbarrow::core
