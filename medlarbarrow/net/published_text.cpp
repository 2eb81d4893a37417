#include <medlarbarrow/net/published_text.hpp>
#include <nlohmann/json.hpp>

namespace medlarbarrow::net
{

namespace
{

using nlohmann::json;

/// The third element is the value; for a removed item, it is true if the item
/// may only have lapsed, and a fourth one tells whether it was inferred.
json to_json(const published_item& item)
{
    if (!item.removed)
    {
        return json::array({item.key, item.revision, item.value});
    }
    const bool lapsed = item.removal == core::removal_kind::lapsed;
    return json::array({item.key, item.revision, lapsed, item.inferred});
}

published_item to_item(const json& element)
{
    published_item item;
    item.key = element.at(0).get<std::string>();
    item.revision = element.at(1).get<std::uint64_t>();
    const json& value_or_lapsed = element.at(2);
    item.removed = value_or_lapsed.is_boolean();
    if (!item.removed)
    {
        item.value = value_or_lapsed.get<std::string>();
        return item;
    }
    item.removal = value_or_lapsed.get<bool>() ? core::removal_kind::lapsed
                                               : core::removal_kind::certain;
    // Instances of earlier releases leave it out.
    item.inferred = element.size() > 3 && element.at(3).get<bool>();
    return item;
}

} // namespace

std::string format_published_text(const published_text& text)
{
    json changes = json::array();
    for (const published_item& item : text.items)
    {
        changes.push_back(to_json(item));
    }
    json formatted{{"at", text.revision},
                   {"complete", text.complete},
                   {"changes", std::move(changes)}};
    if (text.gap.to != 0)
    {
        formatted["gap"] = json::array({text.gap.from, text.gap.to});
    }
    if (!text.lapsed.empty())
    {
        formatted["lapsed"] = text.lapsed;
    }
    return formatted.dump(-1, ' ', false, json::error_handler_t::replace);
}

core::result<published_text> parse_published_text(std::string_view text)
{
    // nlohmann::json reports wrong types and missing members by exceptions.
    try
    {
        const json parsed = json::parse(text);
        published_text result;
        result.revision = parsed.at("at").get<std::uint64_t>();
        result.complete = parsed.at("complete").get<bool>();
        for (const json& element : parsed.at("changes"))
        {
            result.items.push_back(to_item(element));
        }
        if (const auto gap = parsed.find("gap"); gap != parsed.end())
        {
            result.gap = {gap->at(0).get<std::uint64_t>(),
                          gap->at(1).get<std::uint64_t>()};
        }
        if (const auto lapsed = parsed.find("lapsed"); lapsed != parsed.end())
        {
            result.lapsed = lapsed->get<std::set<std::string>>();
        }
        return result;
    }
    catch (const std::exception&)
    {
        return core::make_error_code(core::result_code::peer_message_invalid);
    }
}

} // namespace medlarbarrow::net
