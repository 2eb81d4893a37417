#include <algorithm>
#include <charconv>
#include <map>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/list_text.hpp>
#include <set>

namespace medlarbarrow::core
{

namespace
{

constexpr std::size_t max_kept_changes = 64;
constexpr std::size_t max_field_bytes = 255;
constexpr std::string_view full_list_keyword = "whole";
constexpr std::string_view change_keyword = "change";

using instances_by_name = std::map<std::string, listed_instance, std::less<>>;

instances_by_name by_name(const instance_list& list)
{
    instances_by_name sorted;
    for (const listed_instance& instance : list.instances)
    {
        sorted.emplace(instance.name, instance);
    }
    return sorted;
}

/// One line of the text: the tab-separated fields of an instance.
std::string line_of(const listed_instance& instance)
{
    return instance.name + '\t' + instance.address + '\t' +
           std::to_string(instance.peer_port) + '\t' + instance.data_centre +
           '\t' + instance.region + '\t' + (instance.leaving ? "1" : "0") +
           '\n';
}

std::string lines_of(const instances_by_name& instances)
{
    std::string text;
    for (const auto& [name, instance] : instances)
    {
        text += line_of(instance);
    }
    return text;
}

std::string digest_of(const instances_by_name& instances)
{
    const digest value = digest_text(lines_of(instances), 0);
    return std::to_string(value.high) + '-' + std::to_string(value.low);
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true)
    {
        const std::size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
        {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

bool is_valid_field(std::string_view text)
{
    return !text.empty() && text.size() <= max_field_bytes;
}

std::optional<listed_instance> parse_line(std::string_view line)
{
    constexpr std::size_t line_fields = 6;
    const auto fields = split(line, '\t');
    if (fields.size() != line_fields ||
        !std::ranges::all_of(fields, is_valid_field))
    {
        return std::nullopt;
    }
    listed_instance instance;
    instance.name = fields[0];
    instance.address = fields[1];
    const std::string_view port = fields[2];
    const auto parsed_port = std::from_chars(
        port.data(), port.data() + port.size(), instance.peer_port);
    instance.data_centre = fields[3];
    instance.region = fields[4];
    instance.leaving = fields[5] == "1";
    const bool valid = parsed_port.ec == std::errc() &&
                       parsed_port.ptr == port.data() + port.size() &&
                       (instance.leaving || fields[5] == "0");
    return valid ? std::optional(instance) : std::nullopt;
}

} // namespace

void list_history::add(const instance_list& previous,
                       const instance_list& current)
{
    const instances_by_name before = by_name(previous);
    const instances_by_name after = by_name(current);
    std::set<std::string> names;
    for (const auto& [name, instance] : before)
    {
        const auto it = after.find(name);
        if (it == after.end() || line_of(it->second) != line_of(instance))
        {
            names.insert(name);
        }
    }
    for (const auto& [name, instance] : after)
    {
        if (!before.contains(name))
        {
            names.insert(name);
        }
    }
    this->changes.push_back({previous.version, {names.begin(), names.end()}});
    if (this->changes.size() > max_kept_changes)
    {
        this->changes.pop_front();
    }
}

// The first line holds "whole" or "change" and the digest of the full list.
// Each further line holds an instance, or only the name of a removed one.
std::string list_history::text_since(std::uint64_t base_version,
                                     const instance_list& current) const
{
    const instances_by_name instances = by_name(current);
    const auto first_change =
        std::ranges::find(this->changes, base_version, &change::base_version);
    if (first_change == this->changes.end() || base_version == 0)
    {
        return std::string(full_list_keyword) + '\t' + digest_of(instances) +
               '\n' + lines_of(instances);
    }
    std::set<std::string_view> names;
    for (auto change_entry = first_change; change_entry != this->changes.end();
         ++change_entry)
    {
        names.insert(change_entry->names.begin(), change_entry->names.end());
    }
    std::string text =
        std::string(change_keyword) + '\t' + digest_of(instances) + '\n';
    for (const std::string_view name : names)
    {
        const auto it = instances.find(name);
        text += it == instances.end() ? std::string(name) + '\n'
                                      : line_of(it->second);
    }
    return text;
}

std::optional<instance_list> read_list_text(std::uint64_t version,
                                            std::string_view text,
                                            const instance_list& base)
{
    if (text.empty() || text.back() != '\n')
    {
        return std::nullopt;
    }
    text.remove_suffix(1);
    const auto lines = split(text, '\n');
    const auto header = split(lines.front(), '\t');
    const bool is_full = header.front() == full_list_keyword;
    if (header.size() != 2 || (!is_full && header.front() != change_keyword))
    {
        return std::nullopt;
    }
    instances_by_name instances;
    if (!is_full)
    {
        instances = by_name(base);
    }
    for (std::size_t index = 1; index < lines.size(); ++index)
    {
        const std::string_view line = lines[index];
        if (line.find('\t') == std::string_view::npos)
        {
            instances.erase(std::string(line));
            continue;
        }
        const auto instance = parse_line(line);
        if (!instance || instances.size() > max_list_instances)
        {
            return std::nullopt;
        }
        instances.insert_or_assign(instance->name, *instance);
    }
    if (instances.empty() || digest_of(instances) != header[1])
    {
        return std::nullopt;
    }
    instance_list list{version, {}};
    for (auto& [name, instance] : instances)
    {
        list.instances.push_back(std::move(instance));
    }
    return list;
}

} // namespace medlarbarrow::core
