#include <algorithm>
#include <array>
#include <bit>
#include <map>
#include <medlarbarrow/config/digest.hpp>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/config/reader.hpp>
#include <medlarbarrow/config/references.hpp>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <set>

namespace medlarbarrow::config
{

namespace
{

using core::result_code;
using nlohmann::json;

// These bounds keep each service, route and account well below the size of
// one value of the configuration service.
constexpr std::size_t max_data_centres = 1000;
constexpr std::size_t max_services = 10'000;
constexpr std::size_t max_servers_of_service = 2000;
constexpr std::size_t max_routes = 100'000;
constexpr std::size_t max_methods = 16;
constexpr std::size_t max_accounts = 200'000;
constexpr std::size_t max_accounts_of_route = 5000;
constexpr std::size_t max_keys_of_account = 64;
constexpr std::size_t max_index_parts = 12'000;
constexpr std::size_t max_listed_instances = 100'000;

constexpr std::uint64_t greatest_version = (1ULL << 53U) - 1;
constexpr std::uint64_t greatest_port = 65535;
constexpr std::uint64_t hour_ms = 3'600'000;
constexpr std::uint64_t day_ms = 24 * hour_ms;
constexpr double greatest_rate = 1e9;
constexpr double greatest_weight = 1000.0;

constexpr std::size_t max_host_bytes = 253;
constexpr std::size_t max_path_bytes = 1024;

// A part holds this many bytes on average; smaller parts make one change
// cheaper and the index, which is read with each change, larger.
constexpr std::size_t typical_part_bytes = 32'768;
constexpr std::uint64_t max_ranges = 1U << 20U;
constexpr std::size_t part_name_digits = 32;

constexpr std::array<choice<core::operator_command>, 5> operator_commands{
    {{"none", core::operator_command::none},
     {"drain", core::operator_command::drain},
     {"eject", core::operator_command::eject},
     {"hold", core::operator_command::hold},
     {"readmit", core::operator_command::readmit}}};

constexpr std::array<choice<core::route_access>, 2> accesses{
    {{"open", core::route_access::open}, {"keyed", core::route_access::keyed}}};

constexpr std::array<choice<core::route_priority>, 3> priorities{
    {{"low", core::route_priority::low},
     {"normal", core::route_priority::normal},
     {"high", core::route_priority::high}}};

template <class Enum, std::size_t Count>
std::string_view name_in(const std::array<choice<Enum>, Count>& choices,
                         Enum value)
{
    const auto found = std::find_if(choices.begin(), choices.end(),
                                    [value](const choice<Enum>& item)
                                    {
                                        return item.second == value;
                                    });
    return found == choices.end() ? choices.front().first : found->first;
}

bool is_host(std::string_view text)
{
    const auto allowed = [](char letter)
    {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= '0' && letter <= '9') || letter == '-' ||
               letter == '.';
    };
    return text.size() <= max_host_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_path_prefix(std::string_view text)
{
    const auto allowed = [](char letter)
    {
        return letter > ' ' && letter < '\x7f' && letter != '?' &&
               letter != '#';
    };
    return text.starts_with('/') && text.size() <= max_path_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_method(std::string_view text)
{
    const auto allowed = [](char letter)
    {
        return (letter >= 'A' && letter <= 'Z') || letter == '-';
    };
    return !text.empty() && text.size() <= 32 &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_digest(std::string_view text)
{
    core::key_digest ignored{};
    return from_hex(text, ignored);
}

const text_rule host_rule{
    is_host, "a host name in lower case without port, or an empty string"};
const text_rule path_rule{is_path_prefix,
                          "a path of 1 to 1024 visible ASCII characters that "
                          "starts with '/', without '?' and '#'"};
const text_rule method_rule{is_method, "an HTTP method in upper case"};
const text_rule digest_rule{is_digest,
                            "a SHA-256 of 64 lower-case hexadecimal digits"};

void read_fleet(object_reader& from, core::fleet_policy& target)
{
    from.whole("max_instances", target.max_instances, 1, 100'000,
               presence::required);
    from.milliseconds("clock_skew_ms", target.clock_skew, 0, 60'000,
                      presence::optional);
    from.milliseconds("order_window_ms", target.order_window, 1000, day_ms,
                      presence::optional);
    from.real("retry_fraction", target.retry_fraction, 0.0, 1.0,
              presence::optional);
}

void read_data_centre(object_reader& from, core::data_centre& target)
{
    from.text("name", target.name, name_rule, presence::required);
    from.text("region", target.region, name_rule, presence::required);
}

void read_policy(object_reader& from, core::service_policy& target)
{
    from.real("detection_weight", target.detection_weight, 0.0, greatest_weight,
              presence::optional);
    from.real("false_ejection_weight", target.false_ejection_weight, 0.0,
              greatest_weight, presence::optional);
    from.real("healthy_floor", target.healthy_floor, 0.0, 1.0,
              presence::optional);
}

void read_server(object_reader& from, core::backend_server& target)
{
    from.text("name", target.name, name_rule, presence::required);
    from.text("address", target.address, address_rule, presence::required);
    from.whole("port", target.port, 1, greatest_port, presence::required);
    from.text("data_centre", target.data_centre, name_rule, presence::required);
    from.whole("slots", target.slots, 1, 1'000'000, presence::optional);
    from.whole("connections", target.connections, 1, 1'000'000,
               presence::optional);
    from.one_of<core::operator_command>("order", target.command,
                                        operator_commands, presence::optional);
}

void read_service(object_reader& from, core::service& target)
{
    from.text("name", target.name, name_rule, presence::required);
    const auto policy = [&](object_reader& inner)
    {
        read_policy(inner, target.policy);
    };
    from.object("policy", policy, presence::optional);
    const auto server = [&](object_reader& inner)
    {
        read_server(inner, target.servers.emplace_back());
    };
    from.objects("servers", max_servers_of_service, server, presence::required);
}

void read_route(object_reader& from, core::route& target)
{
    from.text("name", target.name, name_rule, presence::required);
    from.text("host", target.host, host_rule, presence::optional);
    from.text("path_prefix", target.path_prefix, path_rule, presence::required);
    from.texts("methods", target.methods, max_methods, method_rule);
    from.text("service", target.service, name_rule, presence::required);
    from.one_of<core::route_access>("access", target.access, accesses,
                                    presence::optional);
    from.flag("repeatable", target.repeatable, presence::optional);
    from.one_of<core::route_priority>("priority", target.priority, priorities,
                                      presence::optional);
    from.milliseconds("deadline_ms", target.deadline, 1, hour_ms,
                      presence::optional);
    from.whole("max_body_bytes", target.max_body_bytes, 0, 1ULL << 40U,
               presence::optional);
    from.texts("accounts", target.accounts, max_accounts_of_route, name_rule);
}

void read_key(object_reader& from, core::account_key& target)
{
    std::string digits;
    from.text("sha256", digits, digest_rule, presence::required);
    from_hex(digits, target.digest);
    from.flag("withdrawn", target.withdrawn, presence::optional);
}

void read_account(object_reader& from, core::client_account& target)
{
    from.text("name", target.name, name_rule, presence::required);
    from.real("rate_per_second", target.rate_per_second, 0.0, greatest_rate,
              presence::required);
    target.burst = std::max(target.rate_per_second, 1.0);
    from.real("burst", target.burst, 0.0, greatest_rate, presence::optional);
    const auto key = [&](object_reader& inner)
    {
        read_key(inner, target.keys.emplace_back());
    };
    from.objects("keys", max_keys_of_account, key, presence::optional);
}

// Members that a whole document and a part have in common.
void read_sections(object_reader& from, core::document& target, presence needed)
{
    const auto fleet = [&](object_reader& inner)
    {
        read_fleet(inner, target.fleet);
    };
    from.object("fleet", fleet, needed);
    const auto centre = [&](object_reader& inner)
    {
        read_data_centre(inner, target.data_centres.emplace_back());
    };
    from.objects("data_centres", max_data_centres, centre, needed);
    const auto service = [&](object_reader& inner)
    {
        read_service(inner, target.services.emplace_back());
    };
    from.objects("services", max_services, service, needed);
    const auto route = [&](object_reader& inner)
    {
        read_route(inner, target.routes.emplace_back());
    };
    from.objects("routes", max_routes, route, needed);
    const auto account = [&](object_reader& inner)
    {
        read_account(inner, target.accounts.emplace_back());
    };
    from.objects("accounts", max_accounts, account, needed);
}

json to_json(const core::account_key& source);
json to_json(const core::service& source);
json to_json(const core::route& source);
json to_json(const core::client_account& source);

json to_json(const core::fleet_policy& source)
{
    return {{"max_instances", source.max_instances},
            {"clock_skew_ms", source.clock_skew.count()},
            {"order_window_ms", source.order_window.count()},
            {"retry_fraction", source.retry_fraction}};
}

json to_json(const core::data_centre& source)
{
    return {{"name", source.name}, {"region", source.region}};
}

json to_json(const core::backend_server& source)
{
    json target{{"name", source.name},   {"address", source.address},
                {"port", source.port},   {"data_centre", source.data_centre},
                {"slots", source.slots}, {"connections", source.connections}};
    if (source.command != core::operator_command::none)
    {
        target["order"] = name_in(operator_commands, source.command);
    }
    return target;
}

// Every item is an array element of its own kind.
template <class Item>
json list_to_json(const std::vector<Item>& items)
{
    json target = json::array();
    for (const Item& item : items)
    {
        target.push_back(to_json(item));
    }
    return target;
}

json to_json(const core::service& source)
{
    return {{"name", source.name},
            {"policy",
             {{"detection_weight", source.policy.detection_weight},
              {"false_ejection_weight", source.policy.false_ejection_weight},
              {"healthy_floor", source.policy.healthy_floor}}},
            {"servers", list_to_json(source.servers)}};
}

json to_json(const core::route& source)
{
    json target{{"name", source.name},
                {"path_prefix", source.path_prefix},
                {"service", source.service},
                {"access", name_in(accesses, source.access)},
                {"repeatable", source.repeatable},
                {"priority", name_in(priorities, source.priority)},
                {"deadline_ms", source.deadline.count()},
                {"max_body_bytes", source.max_body_bytes}};
    if (!source.host.empty())
    {
        target["host"] = source.host;
    }
    if (!source.methods.empty())
    {
        target["methods"] = source.methods;
    }
    if (!source.accounts.empty())
    {
        target["accounts"] = source.accounts;
    }
    return target;
}

json to_json(const core::account_key& source)
{
    json target{{"sha256", to_hex(source.digest)}};
    if (source.withdrawn)
    {
        target["withdrawn"] = true;
    }
    return target;
}

json to_json(const core::client_account& source)
{
    return {{"name", source.name},
            {"rate_per_second", source.rate_per_second},
            {"burst", source.burst},
            {"keys", list_to_json(source.keys)}};
}

/// Items of one section with the texts they have in a part.
struct section_items
{
    std::string_view section;
    std::map<std::pair<std::uint64_t, std::string>, std::string> by_hash;
    std::size_t bytes = 0;
};

template <class Item>
section_items section_of(std::string_view section,
                         const std::vector<Item>& items)
{
    section_items target{section, {}, 0};
    for (const Item& item : items)
    {
        std::string text = to_json(item).dump();
        target.bytes += text.size();
        target.by_hash.emplace(std::pair(core::hash_text(item.name), item.name),
                               std::move(text));
    }
    return target;
}

// One text for each of `ranges` equal ranges of the hash; empty ranges give
// none. `ranges` is a power of two.
std::vector<std::string> texts_of(const section_items& source,
                                  std::uint64_t ranges)
{
    std::vector<std::string> texts;
    std::optional<std::uint64_t> current;
    const auto shift = static_cast<unsigned>(std::countr_zero(ranges));
    for (const auto& [key, text] : source.by_hash)
    {
        const std::uint64_t range = shift == 0 ? 0 : key.first >> (64U - shift);
        if (current != range)
        {
            texts.push_back(fmt::format("{{\"{}\":[\n", source.section));
            current = range;
        }
        else
        {
            texts.back() += ",\n";
        }
        texts.back() += text;
    }
    for (std::string& text : texts)
    {
        text += "\n]}\n";
    }
    return texts;
}

bool fits(const std::vector<std::string>& texts)
{
    return std::all_of(texts.begin(), texts.end(),
                       [](const std::string& text)
                       {
                           return text.size() <= max_part_bytes;
                       });
}

// The number of ranges depends on the size of the section alone, so that it
// rarely changes between versions; it doubles while a part is too large.
std::vector<std::string> split_section(const section_items& source)
{
    std::uint64_t ranges = std::bit_ceil(source.bytes / typical_part_bytes + 1);
    std::vector<std::string> texts = texts_of(source, ranges);
    while (!fits(texts) && ranges < max_ranges)
    {
        ranges *= 2;
        texts = texts_of(source, ranges);
    }
    return texts;
}

std::string part_name(const std::string& digest)
{
    return "part-" + digest.substr(0, part_name_digits);
}

// Covers the version as well: a damaged version that is too high would make
// an instance refuse every later document.
std::string index_digest(const document_index& index)
{
    std::string covered = fmt::format("{}\n", index.version);
    for (const std::string& digest : index.part_digests)
    {
        covered += digest;
        covered += '\n';
    }
    return to_hex(sha256(covered));
}

template <class Item>
void sort_by_name(std::vector<Item>& items)
{
    std::sort(items.begin(), items.end(),
              [](const Item& left, const Item& right)
              {
                  return left.name < right.name;
              });
}

problems torn(std::string path, std::string message)
{
    return {make_error_code(result_code::document_torn),
            {{std::move(path), std::move(message)}}};
}

} // namespace

checked<core::document> parse_document(std::string_view text)
{
    problem_list found;
    core::document target;
    if (const auto parsed = parse_json(text, max_document_bytes, found))
    {
        object_reader root(*parsed, "", found);
        root.whole("version", target.version, 1, greatest_version,
                   presence::required);
        read_sections(root, target, presence::required);
        root.finish();
        check_references(target, found);
    }
    if (!found.empty())
    {
        return found.take(make_error_code(text.size() > max_document_bytes
                                              ? result_code::document_too_large
                                              : result_code::document_invalid));
    }
    return target;
}

std::string format_document(const core::document& source)
{
    const json target{{"version", source.version},
                      {"fleet", to_json(source.fleet)},
                      {"data_centres", list_to_json(source.data_centres)},
                      {"services", list_to_json(source.services)},
                      {"routes", list_to_json(source.routes)},
                      {"accounts", list_to_json(source.accounts)}};
    return target.dump(2) + "\n";
}

std::vector<document_value> split_document(const core::document& source)
{
    std::vector<std::string> texts;
    const json fleet{{"fleet", to_json(source.fleet)},
                     {"data_centres", list_to_json(source.data_centres)}};
    texts.push_back(fleet.dump() + "\n");
    for (const section_items& section :
         {section_of("services", source.services),
          section_of("routes", source.routes),
          section_of("accounts", source.accounts)})
    {
        for (std::string& text : split_section(section))
        {
            texts.push_back(std::move(text));
        }
    }
    document_index index{source.version, {}, {}};
    std::vector<document_value> values(1);
    for (std::string& text : texts)
    {
        index.part_digests.push_back(to_hex(sha256(text)));
        values.push_back(
            {part_name(index.part_digests.back()), std::move(text)});
    }
    const json head{{"version", index.version},
                    {"parts", index.part_digests},
                    {"sha256", index_digest(index)}};
    values.front() = {"index", head.dump() + "\n"};
    return values;
}

checked<document_index> parse_index(std::string_view text)
{
    problem_list found;
    document_index target;
    std::string digest;
    if (const auto parsed = parse_json(text, max_part_bytes, found))
    {
        object_reader root(*parsed, "", found);
        root.whole("version", target.version, 1, greatest_version,
                   presence::required);
        root.texts("parts", target.part_digests, max_index_parts, digest_rule);
        root.text("sha256", digest, digest_rule, presence::required);
        root.finish();
    }
    if (!found.empty())
    {
        return found.take(make_error_code(result_code::document_invalid));
    }
    if (digest != index_digest(target))
    {
        return torn("/sha256", "the digest of the index differs");
    }
    for (const std::string& part : target.part_digests)
    {
        target.part_names.push_back(part_name(part));
    }
    return target;
}

checked<core::document> join_document(const document_index& index,
                                      const std::vector<std::string>& parts)
{
    if (parts.size() != index.part_digests.size())
    {
        return torn("/parts",
                    fmt::format("{} parts instead of {}", parts.size(),
                                index.part_digests.size()));
    }
    problem_list found;
    core::document target;
    target.version = index.version;
    bool has_fleet = false;
    for (std::size_t number = 0; number < parts.size(); ++number)
    {
        const std::string& text = parts[number];
        const std::string path = fmt::format("/parts/{}", number);
        if (to_hex(sha256(text)) != index.part_digests[number])
        {
            return torn(path, "the digest of the part differs");
        }
        if (const auto parsed = parse_json(text, max_part_bytes, found))
        {
            object_reader root(*parsed, path, found);
            read_sections(root, target, presence::optional);
            has_fleet = has_fleet || root.has("fleet");
            root.finish();
        }
    }
    if (!has_fleet)
    {
        found.add("/fleet", "the member is required");
    }
    sort_by_name(target.services);
    sort_by_name(target.routes);
    sort_by_name(target.accounts);
    check_references(target, found);
    if (!found.empty())
    {
        return found.take(make_error_code(result_code::document_invalid));
    }
    return target;
}

checked<core::instance_list> parse_instance_list(std::string_view text)
{
    problem_list found;
    core::instance_list target;
    const auto read = [&](object_reader& inner)
    {
        core::listed_instance& item = target.instances.emplace_back();
        inner.text("name", item.name, name_rule, presence::required);
        inner.text("address", item.address, address_rule, presence::required);
        inner.whole("peer_port", item.peer_port, 1, greatest_port,
                    presence::required);
        inner.text("data_centre", item.data_centre, name_rule,
                   presence::required);
        inner.text("region", item.region, name_rule, presence::required);
        inner.flag("leaving", item.leaving, presence::optional);
        inner.ignore_others();
    };
    if (const auto parsed = parse_json(text, max_document_bytes, found))
    {
        object_reader root(*parsed, "", found);
        root.whole("version", target.version, 0, greatest_version,
                   presence::required);
        root.objects("instances", max_listed_instances, read,
                     presence::required);
        root.ignore_others();
        std::set<std::string_view> names;
        for (const core::listed_instance& item : target.instances)
        {
            if (!item.name.empty() && !names.insert(item.name).second)
            {
                found.add("/instances",
                          fmt::format("the name {} is used twice", item.name));
            }
        }
    }
    if (!found.empty())
    {
        return found.take(make_error_code(result_code::platform_bad_answer));
    }
    return target;
}

} // namespace medlarbarrow::config
