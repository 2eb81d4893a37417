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

// These limits keep each service, route and account well below the maximum size
// of one value of the configuration service.
constexpr std::size_t max_data_centres = 1000;
constexpr std::size_t max_services = 10'000;
constexpr std::size_t max_servers_per_service = 2000;
constexpr std::size_t max_routes = 100'000;
constexpr std::size_t max_methods = 16;
constexpr std::size_t max_accounts = 200'000;
constexpr std::size_t max_accounts_per_route = 5000;
constexpr std::size_t max_keys_per_account = 64;
constexpr std::size_t max_index_parts = 12'000;
constexpr std::size_t max_listed_instances = 100'000;

constexpr std::uint64_t max_version = (1ULL << 53U) - 1;
constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t hour_ms = 3'600'000;
constexpr std::uint64_t day_ms = 24 * hour_ms;
constexpr double max_rate = 1e9;
constexpr double max_weight = 1000.0;

constexpr std::size_t max_host_bytes = 253;
constexpr std::size_t max_path_bytes = 1024;

// Target for the average size of a part. Smaller parts would make a change
// cheaper, but the index, which is read with each change, larger.
constexpr std::size_t target_part_bytes = 32'768;
constexpr std::uint64_t max_ranges = 1U << 20U;
constexpr std::size_t part_name_digits = 32;

constexpr std::array<choice<core::operator_command>, 5> operator_commands{
    {{"none", core::operator_command::none},
     {"drain", core::operator_command::drain},
     {"eject", core::operator_command::eject},
     {"hold", core::operator_command::hold},
     {"readmit", core::operator_command::readmit}}};

constexpr std::array<choice<core::route_access>, 2> route_accesses{
    {{"open", core::route_access::open}, {"keyed", core::route_access::keyed}}};

constexpr std::array<choice<core::route_priority>, 3> route_priorities{
    {{"low", core::route_priority::low},
     {"normal", core::route_priority::normal},
     {"high", core::route_priority::high}}};

template <class Enum, std::size_t Count>
// Name of an enumerator in JSON.
std::string_view enumerator_name(const std::array<choice<Enum>, Count>& choices,
                                 Enum value)
{
    const auto position = std::find_if(choices.begin(), choices.end(),
                                       [value](const choice<Enum>& candidate)
                                       {
                                           return candidate.second == value;
                                       });
    return position == choices.end() ? choices.front().first : position->first;
}

bool is_host(std::string_view text)
{
    const auto allowed = [](char character)
    {
        return (character >= 'a' && character <= 'z') ||
               (character >= '0' && character <= '9') || character == '-' ||
               character == '.';
    };
    return text.size() <= max_host_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_path_prefix(std::string_view text)
{
    const auto allowed = [](char character)
    {
        return character > ' ' && character < '\x7f' && character != '?' &&
               character != '#';
    };
    return text.starts_with('/') && text.size() <= max_path_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_method(std::string_view text)
{
    const auto allowed = [](char character)
    {
        return (character >= 'A' && character <= 'Z') || character == '-';
    };
    return !text.empty() && text.size() <= 32 &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_digest(std::string_view text)
{
    core::key_digest digest{};
    return from_hex(text, digest);
}

const text_rule host_rule{
    is_host, "a host name in lower case without port, or an empty string"};
const text_rule path_rule{is_path_prefix,
                          "a path of 1 to 1024 visible ASCII characters that "
                          "starts with '/', without '?' and '#'"};
const text_rule method_rule{is_method, "an HTTP method in upper case"};
const text_rule digest_rule{is_digest,
                            "a SHA-256 of 64 lower-case hexadecimal digits"};

void read_fleet(object_reader& reader, core::fleet_policy& target)
{
    reader.whole("max_instances", target.max_instances, 1, 100'000,
                 presence::required);
    reader.milliseconds("clock_skew_ms", target.clock_skew, 0, 60'000,
                        presence::optional);
    reader.milliseconds("order_window_ms", target.order_window, 1000, day_ms,
                        presence::optional);
    reader.real("retry_fraction", target.retry_fraction, 0.0, 1.0,
                presence::optional);
}

void read_data_centre(object_reader& reader, core::data_centre& target)
{
    reader.text("name", target.name, name_rule, presence::required);
    reader.text("region", target.region, name_rule, presence::required);
}

void read_policy(object_reader& reader, core::service_policy& target)
{
    reader.real("detection_weight", target.detection_weight, 0.0, max_weight,
                presence::optional);
    reader.real("false_ejection_weight", target.false_ejection_weight, 0.0,
                max_weight, presence::optional);
    reader.real("healthy_floor", target.healthy_floor, 0.0, 1.0,
                presence::optional);
}

void read_server(object_reader& reader, core::backend_server& target)
{
    reader.text("name", target.name, name_rule, presence::required);
    reader.text("address", target.address, address_rule, presence::required);
    reader.whole("port", target.port, 1, max_port, presence::required);
    reader.text("data_centre", target.data_centre, name_rule,
                presence::required);
    reader.whole("slots", target.slots, 1, 1'000'000, presence::optional);
    reader.whole("connections", target.connections, 1, 1'000'000,
                 presence::optional);
    reader.one_of<core::operator_command>(
        "order", target.command, operator_commands, presence::optional);
}

void read_service(object_reader& reader, core::service& target)
{
    reader.text("name", target.name, name_rule, presence::required);
    const auto read_policy_member = [&](object_reader& inner)
    {
        read_policy(inner, target.policy);
    };
    reader.object("policy", read_policy_member, presence::optional);
    const auto append_server = [&](object_reader& inner)
    {
        read_server(inner, target.servers.emplace_back());
    };
    reader.objects("servers", max_servers_per_service, append_server,
                   presence::required);
}

void read_route(object_reader& reader, core::route& target)
{
    reader.text("name", target.name, name_rule, presence::required);
    reader.text("host", target.host, host_rule, presence::optional);
    reader.text("path_prefix", target.path_prefix, path_rule,
                presence::required);
    reader.texts("methods", target.methods, max_methods, method_rule);
    reader.text("service", target.service, name_rule, presence::required);
    reader.one_of<core::route_access>("access", target.access, route_accesses,
                                      presence::optional);
    reader.flag("repeatable", target.repeatable, presence::optional);
    reader.one_of<core::route_priority>("priority", target.priority,
                                        route_priorities, presence::optional);
    reader.milliseconds("deadline_ms", target.deadline, 1, hour_ms,
                        presence::optional);
    reader.whole("max_body_bytes", target.max_body_bytes, 0, 1ULL << 40U,
                 presence::optional);
    reader.texts("accounts", target.accounts, max_accounts_per_route,
                 name_rule);
}

void read_key(object_reader& reader, core::account_key& target)
{
    std::string digest_text;
    reader.text("sha256", digest_text, digest_rule, presence::required);
    from_hex(digest_text, target.digest);
    reader.flag("withdrawn", target.withdrawn, presence::optional);
}

void read_account(object_reader& reader, core::client_account& target)
{
    reader.text("name", target.name, name_rule, presence::required);
    reader.real("rate_per_second", target.rate_per_second, 0.0, max_rate,
                presence::required);
    target.burst = std::max(target.rate_per_second, 1.0);
    reader.real("burst", target.burst, 0.0, max_rate, presence::optional);
    const auto append_key = [&](object_reader& inner)
    {
        read_key(inner, target.keys.emplace_back());
    };
    reader.objects("keys", max_keys_per_account, append_key,
                   presence::optional);
}

// Reads the members that documents and their parts have in common.
void read_sections(object_reader& reader,
                   core::document& target,
                   presence requirement)
{
    const auto read_fleet_member = [&](object_reader& inner)
    {
        read_fleet(inner, target.fleet);
    };
    reader.object("fleet", read_fleet_member, requirement);
    const auto append_data_centre = [&](object_reader& inner)
    {
        read_data_centre(inner, target.data_centres.emplace_back());
    };
    reader.objects("data_centres", max_data_centres, append_data_centre,
                   requirement);
    const auto append_service = [&](object_reader& inner)
    {
        read_service(inner, target.services.emplace_back());
    };
    reader.objects("services", max_services, append_service, requirement);
    const auto append_route = [&](object_reader& inner)
    {
        read_route(inner, target.routes.emplace_back());
    };
    reader.objects("routes", max_routes, append_route, requirement);
    const auto append_account = [&](object_reader& inner)
    {
        read_account(inner, target.accounts.emplace_back());
    };
    reader.objects("accounts", max_accounts, append_account, requirement);
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
        target["order"] = enumerator_name(operator_commands, source.command);
    }
    return target;
}

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
    json target{
        {"name", source.name},
        {"path_prefix", source.path_prefix},
        {"service", source.service},
        {"access", enumerator_name(route_accesses, source.access)},
        {"repeatable", source.repeatable},
        {"priority", enumerator_name(route_priorities, source.priority)},
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

/// JSON texts of the items of one section, sorted by the hash of their name.
struct section_items
{
    std::string_view section;
    std::map<std::pair<std::uint64_t, std::string>, std::string> by_hash;
    std::size_t bytes = 0;
};

template <class Item>
// Formats the items of a section and sorts them by the hash of their name.
section_items section_of(std::string_view section,
                         const std::vector<Item>& items)
{
    section_items result{section, {}, 0};
    for (const Item& item : items)
    {
        std::string text = to_json(item).dump();
        result.bytes += text.size();
        result.by_hash.emplace(std::pair(core::hash_text(item.name), item.name),
                               std::move(text));
    }
    return result;
}

// Formats one part for each of `ranges` equal ranges of the hash, except for
// ranges without items. `ranges` is a power of two.
std::vector<std::string> format_parts(const section_items& source,
                                      std::uint64_t ranges)
{
    std::vector<std::string> texts;
    std::optional<std::uint64_t> current_range;
    const auto shift = static_cast<unsigned>(std::countr_zero(ranges));
    for (const auto& [key, text] : source.by_hash)
    {
        const std::uint64_t range = shift == 0 ? 0 : key.first >> (64U - shift);
        if (current_range != range)
        {
            texts.push_back(fmt::format("{{\"{}\":[\n", source.section));
            current_range = range;
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

bool all_fit(const std::vector<std::string>& texts)
{
    return std::all_of(texts.begin(), texts.end(),
                       [](const std::string& text)
                       {
                           return text.size() <= max_part_bytes;
                       });
}

// The number of ranges depends only on the size of the section, so that it
// rarely changes between versions. It is doubled while a part is too large.
std::vector<std::string> split_section(const section_items& source)
{
    std::uint64_t ranges = std::bit_ceil(source.bytes / target_part_bytes + 1);
    std::vector<std::string> texts = format_parts(source, ranges);
    while (!all_fit(texts) && ranges < max_ranges)
    {
        ranges *= 2;
        texts = format_parts(source, ranges);
    }
    return texts;
}

std::string part_name(const std::string& digest)
{
    return "part-" + digest.substr(0, part_name_digits);
}

// The digest also covers the version: a damaged version that is too high would
// make an instance reject every later document.
std::string index_digest(const document_index& index)
{
    std::string digest_input = fmt::format("{}\n", index.version);
    for (const std::string& digest : index.part_digests)
    {
        digest_input += digest;
        digest_input += '\n';
    }
    return to_hex(sha256(digest_input));
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

problems torn_document(std::string path, std::string message)
{
    return {make_error_code(result_code::document_torn),
            {{std::move(path), std::move(message)}}};
}

} // namespace

checked<core::document> parse_document(std::string_view text)
{
    problem_list diagnostics;
    core::document target;
    if (const auto parsed = parse_json(text, max_document_bytes, diagnostics))
    {
        object_reader root(*parsed, "", diagnostics);
        root.whole("version", target.version, 1, max_version,
                   presence::required);
        read_sections(root, target, presence::required);
        root.finish();
        check_references(target, diagnostics);
    }
    if (!diagnostics.empty())
    {
        return diagnostics.take(make_error_code(
            text.size() > max_document_bytes ? result_code::document_too_large
                                             : result_code::document_invalid));
    }
    return target;
}

std::string format_document(const core::document& document)
{
    const json target{{"version", document.version},
                      {"fleet", to_json(document.fleet)},
                      {"data_centres", list_to_json(document.data_centres)},
                      {"services", list_to_json(document.services)},
                      {"routes", list_to_json(document.routes)},
                      {"accounts", list_to_json(document.accounts)}};
    return target.dump(2) + "\n";
}

std::vector<document_value> split_document(const core::document& document)
{
    std::vector<std::string> texts;
    const json fleet{{"fleet", to_json(document.fleet)},
                     {"data_centres", list_to_json(document.data_centres)}};
    texts.push_back(fleet.dump() + "\n");
    for (const section_items& section :
         {section_of("services", document.services),
          section_of("routes", document.routes),
          section_of("accounts", document.accounts)})
    {
        for (std::string& text : split_section(section))
        {
            texts.push_back(std::move(text));
        }
    }
    document_index index{document.version, {}, {}};
    std::vector<document_value> values(1);
    for (std::string& text : texts)
    {
        index.part_digests.push_back(to_hex(sha256(text)));
        values.push_back(
            {part_name(index.part_digests.back()), std::move(text)});
    }
    const json index_json{{"version", index.version},
                          {"parts", index.part_digests},
                          {"sha256", index_digest(index)}};
    values.front() = {"index", index_json.dump() + "\n"};
    return values;
}

checked<document_index> parse_index(std::string_view text)
{
    problem_list diagnostics;
    document_index target;
    std::string digest;
    if (const auto parsed = parse_json(text, max_part_bytes, diagnostics))
    {
        object_reader root(*parsed, "", diagnostics);
        root.whole("version", target.version, 1, max_version,
                   presence::required);
        root.texts("parts", target.part_digests, max_index_parts, digest_rule);
        root.text("sha256", digest, digest_rule, presence::required);
        root.finish();
    }
    if (!diagnostics.empty())
    {
        return diagnostics.take(make_error_code(result_code::document_invalid));
    }
    if (digest != index_digest(target))
    {
        return torn_document("/sha256", "the index does not match its digest");
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
        return torn_document(
            "/parts", fmt::format("{} parts; the index lists {}", parts.size(),
                                  index.part_digests.size()));
    }
    problem_list diagnostics;
    core::document target;
    target.version = index.version;
    bool has_fleet = false;
    for (std::size_t number = 0; number < parts.size(); ++number)
    {
        const std::string& text = parts[number];
        const std::string path = fmt::format("/parts/{}", number);
        if (to_hex(sha256(text)) != index.part_digests[number])
        {
            return torn_document(
                path, "the part does not match its digest in the index");
        }
        if (const auto parsed = parse_json(text, max_part_bytes, diagnostics))
        {
            object_reader root(*parsed, path, diagnostics);
            read_sections(root, target, presence::optional);
            has_fleet = has_fleet || root.has("fleet");
            root.finish();
        }
    }
    if (!has_fleet)
    {
        diagnostics.add("/fleet", "the member is required");
    }
    sort_by_name(target.services);
    sort_by_name(target.routes);
    sort_by_name(target.accounts);
    check_references(target, diagnostics);
    if (!diagnostics.empty())
    {
        return diagnostics.take(make_error_code(result_code::document_invalid));
    }
    return target;
}

checked<core::instance_list> parse_instance_list(std::string_view text)
{
    problem_list diagnostics;
    core::instance_list target;
    const auto read_instance = [&](object_reader& inner)
    {
        core::listed_instance& instance = target.instances.emplace_back();
        inner.text("name", instance.name, name_rule, presence::required);
        inner.text("address", instance.address, address_rule,
                   presence::required);
        inner.whole("peer_port", instance.peer_port, 1, max_port,
                    presence::required);
        inner.text("data_centre", instance.data_centre, name_rule,
                   presence::required);
        inner.text("region", instance.region, name_rule, presence::required);
        inner.flag("leaving", instance.leaving, presence::optional);
        inner.ignore_unknown_members();
    };
    if (const auto parsed = parse_json(text, max_document_bytes, diagnostics))
    {
        object_reader root(*parsed, "", diagnostics);
        root.whole("version", target.version, 0, max_version,
                   presence::required);
        root.objects("instances", max_listed_instances, read_instance,
                     presence::required);
        root.ignore_unknown_members();
        std::set<std::string_view> names;
        for (const core::listed_instance& instance : target.instances)
        {
            if (!instance.name.empty() && !names.insert(instance.name).second)
            {
                diagnostics.add(
                    "/instances",
                    fmt::format("the name {} is used twice", instance.name));
            }
        }
    }
    if (!diagnostics.empty())
    {
        return diagnostics.take(
            make_error_code(result_code::platform_bad_answer));
    }
    return target;
}

} // namespace medlarbarrow::config
