#include <algorithm>
#include <medlarbarrow/config/report.hpp>
#include <vector>

namespace medlarbarrow::config
{

namespace
{

using nlohmann::ordered_json;

// Replaces control characters by '?'.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](unsigned char character)
        {
            return character < ' ' || character == 0x7f;
        },
        '?');
    return text;
}

// A value in one line; the elements of an array are joined by commas.
std::string format_cell(const ordered_json& value)
{
    if (value.is_string())
    {
        return printable(value.get<std::string>());
    }
    if (value.is_boolean())
    {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_array())
    {
        std::string joined;
        for (const ordered_json& element : value)
        {
            joined += joined.empty() ? "" : ",";
            joined += format_cell(element);
        }
        return joined;
    }
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

// The columns are the members of the first row; "-" marks an empty cell.
std::string format_table(const ordered_json& rows)
{
    std::vector<std::string> columns;
    for (const auto& [member, value] : rows.front().items())
    {
        columns.push_back(printable(member));
    }
    std::vector<std::vector<std::string>> lines{columns};
    for (const ordered_json& row : rows)
    {
        std::vector<std::string>& line = lines.emplace_back();
        for (const std::string& column : columns)
        {
            const bool has_value = row.is_object() && row.contains(column);
            std::string text = has_value ? format_cell(row[column]) : "";
            if (text.empty())
            {
                text = "-";
            }
            line.push_back(std::move(text));
        }
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& line : lines)
    {
        for (std::size_t column = 0; column < line.size(); ++column)
        {
            widths[column] = std::max(widths[column], line[column].size());
        }
    }
    std::string text;
    for (const auto& line : lines)
    {
        for (std::size_t column = 0; column < line.size(); ++column)
        {
            text += line[column];
            const bool last = column + 1 == line.size();
            text += last ? "\n"
                         : std::string(widths[column] - line[column].size() + 2,
                                       ' ');
        }
    }
    return text;
}

bool is_table(const ordered_json& value)
{
    return value.is_array() && !value.empty() && value.front().is_object();
}

} // namespace

std::string format_text(const ordered_json& body)
{
    if (is_table(body))
    {
        return format_table(body);
    }
    if (!body.is_object())
    {
        const std::string text = format_cell(body);
        return text.empty() ? "" : text + "\n";
    }
    std::string text;
    for (const auto& [member, value] : body.items())
    {
        if (is_table(value))
        {
            text += printable(member) + ":\n" + format_table(value);
        }
        else if (const std::string line = format_cell(value); !line.empty())
        {
            text += printable(member) + ": " + line + "\n";
        }
    }
    return text;
}

} // namespace medlarbarrow::config
