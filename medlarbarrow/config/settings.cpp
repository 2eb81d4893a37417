#include <array>
#include <fstream>
#include <medlarbarrow/config/reader.hpp>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <sstream>

namespace medlarbarrow::config
{

namespace
{

constexpr std::size_t max_settings_bytes = 1U << 20U;
constexpr std::size_t max_seeds = 1024;
constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t hour_ms = 3'600'000;

constexpr std::array<choice<std::string_view>, 4> log_levels{
    {{"debug", "debug"},
     {"info", "info"},
     {"warning", "warning"},
     {"error", "error"}}};

// `min_port` is 0 for a listener: with port 0 the system chooses a free port,
// which tests use. It is 1 for a remote endpoint, which needs a real port.
void read_endpoint(object_reader& reader,
                   endpoint& target,
                   std::uint64_t min_port)
{
    reader.text("address", target.address, address_rule, presence::required);
    reader.unsigned_integer("port", target.port, min_port, max_port,
                            presence::required);
}

void read_listener(object_reader& reader,
                   std::string_view member,
                   endpoint& target)
{
    const auto read_listener_member = [&](object_reader& inner)
    {
        read_endpoint(inner, target, 0);
    };
    reader.object(member, read_listener_member, presence::required);
}

void read_tls(object_reader& reader,
              std::string_view member,
              std::optional<tls_files>& target,
              bool with_authority)
{
    tls_files files;
    const auto read_files = [&](object_reader& inner)
    {
        inner.text("certificate_file", files.certificate_file, file_rule,
                   presence::required);
        inner.text("key_file", files.key_file, file_rule, presence::required);
        if (with_authority)
        {
            inner.text("authority_file", files.authority_file, file_rule,
                       presence::required);
        }
    };
    if (reader.object(member, read_files, presence::optional))
    {
        target = files;
    }
}

void read_bounds(object_reader& reader, entry_bounds& target)
{
    reader.unsigned_integer("max_connections", target.max_connections, 1,
                            1'000'000, presence::optional);
    reader.unsigned_integer("max_header_bytes", target.max_header_bytes, 1024,
                            1U << 20U, presence::optional);
    reader.unsigned_integer("buffer_bytes", target.buffer_bytes, 4096,
                            16U << 20U, presence::optional);
    reader.unsigned_integer("max_arriving_bytes", target.max_arriving_bytes,
                            1U << 20U, 1U << 30U, presence::optional);
    reader.milliseconds("idle_timeout_ms", target.idle_timeout, 100, hour_ms,
                        presence::optional);
    reader.milliseconds("header_timeout_ms", target.header_timeout, 100,
                        hour_ms, presence::optional);
}

// Reads where the instance gets its document and other instances from.
void read_document_sources(object_reader& reader, settings& target)
{
    endpoint platform;
    const auto read_platform = [&](object_reader& inner)
    {
        read_endpoint(inner, platform, 1);
    };
    if (reader.object("platform", read_platform, presence::optional))
    {
        target.platform = platform;
    }
    reader.text("document_file", target.document_file, file_rule,
                presence::optional);
    const auto read_seed = [&](object_reader& inner)
    {
        read_endpoint(inner, target.seeds.emplace_back(), 1);
    };
    reader.objects("seeds", max_seeds, read_seed, presence::optional);
}

// Listeners with port 0 get different ports.
bool are_same_listener(const endpoint& left, const endpoint& right)
{
    return left.port != 0 && left.port == right.port &&
           left.address == right.address;
}

// Checks the rules that involve more than one member.
void check_combinations(object_reader& reader, const settings& target)
{
    if (reader.has("platform") == reader.has("document_file"))
    {
        reader.report("",
                      "exactly one of platform and document_file is required");
    }
    const bool has_peers = reader.has("platform") || !target.seeds.empty();
    if (has_peers && !reader.has("fleet_secret_file"))
    {
        reader.report("fleet_secret_file",
                      "the member is required with platform or seeds");
    }
    if (are_same_listener(target.callers, target.peers) ||
        are_same_listener(target.callers, target.admin) ||
        are_same_listener(target.peers, target.admin))
    {
        reader.report("", "callers, peers and admin need different endpoints");
    }
}

void read_settings(object_reader& reader, settings& target)
{
    reader.text("name", target.name, name_rule, presence::required);
    reader.text("data_centre", target.data_centre, name_rule,
                presence::required);
    reader.text("region", target.region, name_rule, presence::required);
    read_listener(reader, "callers", target.callers);
    read_listener(reader, "peers", target.peers);
    read_listener(reader, "admin", target.admin);
    read_document_sources(reader, target);
    reader.text("fleet_secret_file", target.fleet_secret_file, file_rule,
                presence::optional);
    read_tls(reader, "caller_tls", target.caller_tls, false);
    read_tls(reader, "peer_tls", target.peer_tls, true);
    const auto read_bounds_member = [&](object_reader& inner)
    {
        read_bounds(inner, target.bounds);
    };
    reader.object("bounds", read_bounds_member, presence::optional);
    reader.milliseconds("shutdown_limit_ms", target.shutdown_limit, 0, hour_ms,
                        presence::optional);
    std::string_view level = target.log_level;
    reader.one_of<std::string_view>("log_level", level, log_levels,
                                    presence::optional);
    target.log_level = std::string(level);
    reader.finish();
}

} // namespace

checked<settings> parse_settings(std::string_view text)
{
    problem_list diagnostics;
    settings target;
    if (const auto parsed = parse_json(text, max_settings_bytes, diagnostics))
    {
        object_reader root(*parsed, "", diagnostics);
        read_settings(root, target);
        check_combinations(root, target);
    }
    if (!diagnostics.empty())
    {
        return diagnostics.take(
            make_error_code(core::result_code::settings_invalid));
    }
    return target;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
    {
        return std::nullopt;
    }
    return text.str();
}

checked<settings> load_settings(const std::string& path)
{
    const auto text = read_file(path);
    if (!text)
    {
        return problems{make_error_code(core::result_code::file_unreadable),
                        {{"", path + " cannot be read"}}};
    }
    return parse_settings(*text);
}

} // namespace medlarbarrow::config
