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
constexpr std::uint64_t greatest_port = 65535;
constexpr std::uint64_t hour_ms = 3'600'000;

constexpr std::array<choice<std::string_view>, 4> log_levels{
    {{"debug", "debug"},
     {"info", "info"},
     {"warning", "warning"},
     {"error", "error"}}};

// A listener may have port 0: the system then chooses a free one, which suits
// tests; a remote endpoint needs a real port.
void read_endpoint(object_reader& from, endpoint& target, std::uint64_t least)
{
    from.text("address", target.address, address_rule, presence::required);
    from.whole("port", target.port, least, greatest_port, presence::required);
}

void read_listener(object_reader& from,
                   std::string_view member,
                   endpoint& target)
{
    const auto read = [&](object_reader& inner)
    {
        read_endpoint(inner, target, 0);
    };
    from.object(member, read, presence::required);
}

void read_tls(object_reader& from,
              std::string_view member,
              std::optional<tls_files>& target,
              bool with_authority)
{
    tls_files files;
    const auto read = [&](object_reader& inner)
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
    if (from.object(member, read, presence::optional))
    {
        target = files;
    }
}

void read_bounds(object_reader& from, entry_bounds& target)
{
    from.whole("max_connections", target.max_connections, 1, 1'000'000,
               presence::optional);
    from.whole("max_header_bytes", target.max_header_bytes, 1024, 1U << 20U,
               presence::optional);
    from.whole("buffer_bytes", target.buffer_bytes, 4096, 16U << 20U,
               presence::optional);
    from.milliseconds("idle_timeout_ms", target.idle_timeout, 100, hour_ms,
                      presence::optional);
    from.milliseconds("header_timeout_ms", target.header_timeout, 100, hour_ms,
                      presence::optional);
}

void read_sources(object_reader& from, settings& target)
{
    endpoint platform;
    const auto read_platform = [&](object_reader& inner)
    {
        read_endpoint(inner, platform, 1);
    };
    if (from.object("platform", read_platform, presence::optional))
    {
        target.platform = platform;
    }
    from.text("document_file", target.document_file, file_rule,
              presence::optional);
    const auto read_seed = [&](object_reader& inner)
    {
        read_endpoint(inner, target.seeds.emplace_back(), 1);
    };
    from.objects("seeds", max_seeds, read_seed, presence::optional);
}

bool same_listener(const endpoint& left, const endpoint& right)
{
    return left.port != 0 && left.port == right.port &&
           left.address == right.address;
}

void check_combinations(object_reader& from, const settings& target)
{
    if (from.has("platform") == from.has("document_file"))
    {
        from.report("", "exactly one of platform and document_file is needed");
    }
    const bool has_peers = from.has("platform") || !target.seeds.empty();
    if (has_peers && !from.has("fleet_secret_file"))
    {
        from.report("fleet_secret_file",
                    "the member is required with platform or seeds");
    }
    if (same_listener(target.callers, target.peers) ||
        same_listener(target.callers, target.admin) ||
        same_listener(target.peers, target.admin))
    {
        from.report("", "callers, peers and admin need different endpoints");
    }
}

void read_settings(object_reader& from, settings& target)
{
    from.text("name", target.name, name_rule, presence::required);
    from.text("data_centre", target.data_centre, name_rule, presence::required);
    from.text("region", target.region, name_rule, presence::required);
    read_listener(from, "callers", target.callers);
    read_listener(from, "peers", target.peers);
    read_listener(from, "admin", target.admin);
    read_sources(from, target);
    from.text("fleet_secret_file", target.fleet_secret_file, file_rule,
              presence::optional);
    read_tls(from, "caller_tls", target.caller_tls, false);
    read_tls(from, "peer_tls", target.peer_tls, true);
    const auto read = [&](object_reader& inner)
    {
        read_bounds(inner, target.bounds);
    };
    from.object("bounds", read, presence::optional);
    from.milliseconds("shutdown_limit_ms", target.shutdown_limit, 0, hour_ms,
                      presence::optional);
    std::string_view level = target.log_level;
    from.one_of<std::string_view>("log_level", level, log_levels,
                                  presence::optional);
    target.log_level = std::string(level);
    from.finish();
}

} // namespace

checked<settings> parse_settings(std::string_view text)
{
    problem_list found;
    settings target;
    if (const auto parsed = parse_json(text, max_settings_bytes, found))
    {
        object_reader root(*parsed, "", found);
        read_settings(root, target);
        check_combinations(root, target);
    }
    if (!found.empty())
    {
        return found.take(make_error_code(core::result_code::settings_invalid));
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
