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
        return json::array({item.key, item.position.revision, item.value});
    }
    const bool lapsed = item.removal == core::removal_kind::lapsed;
    return json::array(
        {item.key, item.position.revision, lapsed, item.inferred});
}

published_item to_item(const json& element, std::uint64_t era)
{
    published_item item;
    item.key = element.at(0).get<std::string>();
    item.position = {era, element.at(1).get<std::uint64_t>()};
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

/// The fourth element is the value; for a removed item, the fourth and fifth
/// are the version that was removed, and the last is the value that is listed.
json carried_to_json(const published_item& item)
{
    const core::source_position& position = item.position;
    if (!item.removed)
    {
        return json::array(
            {item.key, position.era, position.revision, item.value});
    }
    return json::array({item.key, position.era, position.revision,
                        item.version.major, item.version.minor,
                        item.listed_value});
}

published_item carried_to_item(const json& element)
{
    published_item item;
    item.key = element.at(0).get<std::string>();
    item.position = {element.at(1).get<std::uint64_t>(),
                     element.at(2).get<std::uint64_t>()};
    item.removed = !element.at(3).is_string();
    if (!item.removed)
    {
        item.value = element.at(3).get<std::string>();
        return item;
    }
    item.version = {element.at(3).get<std::uint64_t>(),
                    element.at(4).get<std::uint64_t>()};
    item.listed_value = element.at(5).get<std::string>();
    return item;
}

json carried_to_json(const std::vector<published_item>& items)
{
    json formatted = json::array();
    for (const published_item& item : items)
    {
        formatted.push_back(carried_to_json(item));
    }
    return formatted;
}

} // namespace

std::string format_published_text(const published_text& text)
{
    json changes = json::array();
    for (const published_item& item : text.items)
    {
        changes.push_back(to_json(item));
    }
    json formatted{{"at", text.position.revision},
                   {"complete", text.complete},
                   {"changes", std::move(changes)}};
    if (text.position.era != 0)
    {
        formatted["era"] = text.position.era;
    }
    if (text.gap.to.revision != 0)
    {
        formatted["gap"] =
            json::array({text.gap.from.revision, text.gap.to.revision});
    }
    if (!text.carried.empty())
    {
        formatted["carried"] = carried_to_json(text.carried);
    }
    if (!text.lapsed.empty())
    {
        formatted["lapsed"] = text.lapsed;
    }
    if (!text.gone.empty())
    {
        formatted["gone"] = text.gone;
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
        const auto era = parsed.value("era", std::uint64_t{0});
        result.position = {era, parsed.at("at").get<std::uint64_t>()};
        result.complete = parsed.at("complete").get<bool>();
        for (const json& element : parsed.at("changes"))
        {
            result.items.push_back(to_item(element, era));
        }
        if (const auto carried = parsed.find("carried");
            carried != parsed.end())
        {
            for (const json& element : *carried)
            {
                result.carried.push_back(carried_to_item(element));
            }
        }
        if (const auto gap = parsed.find("gap"); gap != parsed.end())
        {
            result.gap.from = {era, gap->at(0).get<std::uint64_t>()};
            result.gap.to = {era, gap->at(1).get<std::uint64_t>()};
        }
        if (const auto lapsed = parsed.find("lapsed"); lapsed != parsed.end())
        {
            result.lapsed = lapsed->get<std::set<std::string>>();
        }
        if (const auto gone = parsed.find("gone"); gone != parsed.end())
        {
            result.gone = gone->get<std::set<std::string>>();
        }
        return result;
    }
    catch (const std::exception&)
    {
        return core::make_error_code(core::result_code::peer_message_invalid);
    }
}

} // namespace medlarbarrow::net
