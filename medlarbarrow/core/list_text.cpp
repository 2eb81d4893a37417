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

constexpr std::size_t kept_changes = 64;
constexpr std::size_t max_field_bytes = 255;
constexpr std::string_view whole_word = "whole";
constexpr std::string_view change_word = "change";

using instances_by_name = std::map<std::string, listed_instance, std::less<>>;

instances_by_name by_name(const instance_list& list)
{
    instances_by_name sorted;
    for (const listed_instance& item : list.instances)
    {
        sorted.emplace(item.name, item);
    }
    return sorted;
}

std::string line_of(const listed_instance& item)
{
    return item.name + '\t' + item.address + '\t' +
           std::to_string(item.peer_port) + '\t' + item.data_centre + '\t' +
           item.region + '\t' + (item.leaving ? "1" : "0") + '\n';
}

std::string lines_of(const instances_by_name& items)
{
    std::string text;
    for (const auto& [name, item] : items)
    {
        text += line_of(item);
    }
    return text;
}

std::string digest_of(const instances_by_name& items)
{
    const digest value = digest_text(lines_of(items), 0);
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

bool is_field(std::string_view text)
{
    return !text.empty() && text.size() <= max_field_bytes;
}

std::optional<listed_instance> read_line(std::string_view line)
{
    constexpr std::size_t line_fields = 6;
    const auto fields = split(line, '\t');
    if (fields.size() != line_fields || !std::ranges::all_of(fields, is_field))
    {
        return std::nullopt;
    }
    listed_instance item;
    item.name = fields[0];
    item.address = fields[1];
    const std::string_view port = fields[2];
    const auto read =
        std::from_chars(port.data(), port.data() + port.size(), item.peer_port);
    item.data_centre = fields[3];
    item.region = fields[4];
    item.leaving = fields[5] == "1";
    const bool valid = read.ec == std::errc() &&
                       read.ptr == port.data() + port.size() &&
                       (item.leaving || fields[5] == "0");
    return valid ? std::optional(item) : std::nullopt;
}

} // namespace

void list_history::add(const instance_list& previous, const instance_list& next)
{
    const instances_by_name before = by_name(previous);
    const instances_by_name after = by_name(next);
    std::set<std::string> names;
    for (const auto& [name, item] : before)
    {
        const auto found = after.find(name);
        if (found == after.end() || line_of(found->second) != line_of(item))
        {
            names.insert(name);
        }
    }
    for (const auto& [name, item] : after)
    {
        if (!before.contains(name))
        {
            names.insert(name);
        }
    }
    this->changes.push_back({previous.version, {names.begin(), names.end()}});
    if (this->changes.size() > kept_changes)
    {
        this->changes.pop_front();
    }
}

// Line 1: "whole" or "change", and the digest of the complete list. Further
// lines: an instance, or the name alone of one that is gone.
std::string list_history::text_since(std::uint64_t base,
                                     const instance_list& current) const
{
    const instances_by_name items = by_name(current);
    const auto first = std::ranges::find(this->changes, base, &change::from);
    if (first == this->changes.end() || base == 0)
    {
        return std::string(whole_word) + '\t' + digest_of(items) + '\n' +
               lines_of(items);
    }
    std::set<std::string_view> names;
    for (auto item = first; item != this->changes.end(); ++item)
    {
        names.insert(item->names.begin(), item->names.end());
    }
    std::string text =
        std::string(change_word) + '\t' + digest_of(items) + '\n';
    for (const std::string_view name : names)
    {
        const auto found = items.find(name);
        text += found == items.end() ? std::string(name) + '\n'
                                     : line_of(found->second);
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
    const auto head = split(lines.front(), '\t');
    const bool is_whole = head.front() == whole_word;
    if (head.size() != 2 || (!is_whole && head.front() != change_word))
    {
        return std::nullopt;
    }
    instances_by_name items;
    if (!is_whole)
    {
        items = by_name(base);
    }
    for (std::size_t number = 1; number < lines.size(); ++number)
    {
        const std::string_view line = lines[number];
        if (line.find('\t') == std::string_view::npos)
        {
            items.erase(std::string(line));
            continue;
        }
        const auto item = read_line(line);
        if (!item || items.size() > max_list_instances)
        {
            return std::nullopt;
        }
        items.insert_or_assign(item->name, *item);
    }
    if (items.empty() || digest_of(items) != head[1])
    {
        return std::nullopt;
    }
    instance_list list{version, {}};
    for (auto& [name, item] : items)
    {
        list.instances.push_back(std::move(item));
    }
    return list;
}

} // namespace medlarbarrow::core
