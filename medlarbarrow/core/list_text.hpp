/// Text form of the instance list for list_copy: the full list or the
/// difference from an earlier version. A list of 830 instances takes about
/// 45 KB and changes thousands of times a day; a difference takes about 100
/// bytes.
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

/// Greatest number of instances accepted in a list read from text.
constexpr std::size_t max_list_instances = 4096;

/// Names of the instances that changed with each of the latest versions.
class list_history
{
public:
    /// Records the changes from `previous` to `current`.
    void add(const instance_list& previous, const instance_list& current);

    /// Returns the text that turns version `base_version` into `current`, or
    /// the full list when the changes since then are not known.
    std::string text_since(std::uint64_t base_version,
                           const instance_list& current) const;

private:
    struct change
    {
        std::uint64_t base_version = 0;
        std::vector<std::string> names;
    };

    std::deque<change> changes;
};

/// Reads a text made by list_history. Returns nothing if the digest in the text
/// shows that it is damaged, or that it is a difference from another list than
/// `base`.
std::optional<instance_list> read_list_text(std::uint64_t version,
                                            std::string_view text,
                                            const instance_list& base);

} // namespace medlarbarrow::core
