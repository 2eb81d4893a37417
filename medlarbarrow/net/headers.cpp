#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <medlarbarrow/net/headers.hpp>
#include <openssl/sha.h>

namespace medlarbarrow::net
{

namespace
{

constexpr std::string_view key_member = "api_key";

/// Keys of at least this length are also searched for in the rest of the
/// request. Shorter ones could match other text by chance.
constexpr std::size_t min_searched_key_length = 16;

/// Prefix of header names that a server's answer may not set.
constexpr std::string_view reserved_answer_prefix = "medlar-";

bool equal_names(std::string_view left, std::string_view right)
{
    return boost::beast::iequals(left, right);
}

bool is_letter_or_digit(char letter)
{
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
}

std::string lower_case(std::string_view text)
{
    std::string lowered(text);
    std::ranges::transform(
        lowered, lowered.begin(),
        [](char letter)
        {
            const bool upper = letter >= 'A' && letter <= 'Z';
            return upper ? static_cast<char>(letter - 'A' + 'a') : letter;
        });
    return lowered;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool starts_with_name(std::string_view name, std::string_view prefix)
{
    return name.size() >= prefix.size() &&
           equal_names(name.substr(0, prefix.size()), prefix);
}

/// True for headers that apply to a single connection only.
bool is_hop_by_hop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names{
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "te",
        "proxy-authorization",
        "trailer",
        "upgrade",
        "transfer-encoding"};
    return std::ranges::any_of(names,
                               [name](std::string_view other)
                               {
                                   return equal_names(name, other);
                               });
}

/// Header names that the Connection headers list, in lower case.
std::vector<std::string> connection_names(const http::fields& fields)
{
    std::vector<std::string> names;
    const auto range = fields.equal_range(http::field::connection);
    for (auto line = range.first; line != range.second; ++line)
    {
        for (const auto& name : http::token_list(line->value()))
        {
            names.push_back(lower_case(std::string_view(name)));
        }
    }
    return names;
}

bool contains_name(const std::vector<std::string>& names, std::string_view name)
{
    return std::ranges::any_of(names,
                               [name](const std::string& other)
                               {
                                   return equal_names(name, other);
                               });
}

/// Decodes percent escapes; empty when an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text,
                                          bool plus_is_space)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        const char letter = text[index];
        if (letter != '%')
        {
            decoded += plus_is_space && letter == '+' ? ' ' : letter;
            continue;
        }
        const std::string_view digits = text.substr(index + 1, 2);
        unsigned value = 0;
        const auto* end = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), end, value, 16);
        if (digits.size() != 2 || parsed.ptr != end)
        {
            return std::nullopt;
        }
        decoded += static_cast<char>(value);
        index += 2;
    }
    return decoded;
}

/// The path that is matched against routes: decoded once, with repeated slashes
/// merged. Dot segments are rejected, since a server that resolves them would
/// serve another route than the one whose access was checked.
std::optional<std::string> routing_path(std::string_view path)
{
    const auto decoded = percent_decode(path, false);
    if (!decoded)
    {
        return std::nullopt;
    }
    std::string merged;
    std::string segment;
    const auto is_dot_segment = [&segment]
    {
        return segment == "." || segment == "..";
    };
    for (const char letter : *decoded)
    {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte < 0x20 || byte == 0x7f || letter == '\\')
        {
            return std::nullopt;
        }
        if (letter == '/')
        {
            if (is_dot_segment())
            {
                return std::nullopt;
            }
            segment.clear();
            if (!merged.empty() && merged.back() == '/')
            {
                continue;
            }
        }
        else
        {
            segment += letter;
        }
        merged += letter;
    }
    if (is_dot_segment())
    {
        return std::nullopt;
    }
    return merged;
}

/// Host without port, in lower case; empty when it is malformed.
std::optional<std::string> plain_host(std::string_view host)
{
    const bool valid =
        std::ranges::all_of(host,
                            [](char letter)
                            {
                                return is_letter_or_digit(letter) ||
                                       std::string_view(".-_:[]").find(
                                           letter) != std::string_view::npos;
                            });
    if (host.empty() || !valid)
    {
        return std::nullopt;
    }
    std::string_view port;
    std::string_view name = host;
    const auto bracket = host.find(']');
    const auto colon = host.find(
        ':',
        host.front() == '[' && bracket != std::string_view::npos ? bracket : 0);
    if (colon != std::string_view::npos)
    {
        name = host.substr(0, colon);
        port = host.substr(colon + 1);
    }
    const bool digits =
        std::ranges::all_of(port,
                            [](char letter)
                            {
                                return letter >= '0' && letter <= '9';
                            });
    if (name.empty() || !digits)
    {
        return std::nullopt;
    }
    return lower_case(name);
}

/// Collects the key from the places where a caller may put it, and detects
/// differing keys.
class key_collector
{
public:
    /// Ignores an empty value.
    void add(std::string_view value)
    {
        if (value.empty())
        {
            return;
        }
        this->conflict |= !this->key.empty() && this->key != value;
        this->key = value;
    }

    bool has_conflict() const noexcept
    {
        return this->conflict;
    }

    const std::string& value() const noexcept
    {
        return this->key;
    }

    /// True when `text` contains the key, if that is long enough to search for.
    bool occurs_in(std::string_view text) const
    {
        return this->key.size() >= min_searched_key_length &&
               text.find(this->key) != std::string_view::npos;
    }

private:
    std::string key;
    bool conflict = false;
};

/// Calls `visit` for each part of `text` between separators.
template <class Function>
void for_each_part(std::string_view text, char separator, Function&& visit)
{
    while (true)
    {
        const auto end = text.find(separator);
        visit(text.substr(0, end));
        if (end == std::string_view::npos)
        {
            return;
        }
        text.remove_prefix(end + 1);
    }
}

/// Removes api_key members from a query and collects their values. False when
/// an escape in a value is malformed.
bool strip_query(std::string_view query,
                 key_collector& keys,
                 std::string& stripped)
{
    bool valid = true;
    for_each_part(query, '&',
                  [&](std::string_view member)
                  {
                      const auto equals = member.find('=');
                      const auto name =
                          percent_decode(member.substr(0, equals), true);
                      if (!name || *name != key_member)
                      {
                          if (!stripped.empty())
                          {
                              stripped += '&';
                          }
                          stripped += member;
                          return;
                      }
                      if (equals == std::string_view::npos)
                      {
                          return;
                      }
                      const auto value =
                          percent_decode(member.substr(equals + 1), true);
                      valid &= value.has_value();
                      keys.add(value.value_or(std::string()));
                  });
    return valid;
}

/// Removes api_key cookies and collects their values.
std::string strip_cookies(std::string_view cookies, key_collector& keys)
{
    std::string stripped;
    for_each_part(cookies, ';',
                  [&](std::string_view part)
                  {
                      const std::string_view cookie = trim(part);
                      const auto equals = cookie.find('=');
                      if (trim(cookie.substr(0, equals)) != key_member)
                      {
                          if (!stripped.empty())
                          {
                              stripped += "; ";
                          }
                          stripped += cookie;
                          return;
                      }
                      if (equals == std::string_view::npos)
                      {
                          return;
                      }
                      std::string_view value = trim(cookie.substr(equals + 1));
                      if (value.size() >= 2 && value.front() == '"' &&
                          value.back() == '"')
                      {
                          value = value.substr(1, value.size() - 2);
                      }
                      keys.add(value);
                  });
    return stripped;
}

/// The key in an Authorization value; empty for another scheme.
std::string_view scheme_key(std::string_view value, std::string_view scheme)
{
    if (value.size() <= scheme.size() || !starts_with_name(value, scheme) ||
        (value[scheme.size()] != ' ' && value[scheme.size()] != '\t'))
    {
        return {};
    }
    return trim(value.substr(scheme.size()));
}

/// Reads the body framing: one Content-Length of digits, or chunked, not both.
/// False when it is malformed or ambiguous.
bool read_framing(const http::request_header<>& header,
                  checked_request& request)
{
    const auto lengths = header.count(http::field::content_length);
    const auto encodings = header.count(http::field::transfer_encoding);
    if (lengths + encodings > 1)
    {
        return false;
    }
    if (encodings == 1)
    {
        request.chunked = true;
        return equal_names(header[http::field::transfer_encoding], "chunked");
    }
    if (lengths == 0)
    {
        return true;
    }
    const std::string_view text = header[http::field::content_length];
    std::uint64_t length = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, length);
    request.content_length = length;
    return parsed.ec == std::errc() && parsed.ptr == end;
}

/// Reads the caller's deadline in milliseconds. False when it is malformed or
/// above a day.
bool read_deadline(const http::request_header<>& header,
                   const http_interface& names,
                   checked_request& request)
{
    const auto line = header.find(names.deadline);
    if (line == header.end())
    {
        return true;
    }
    // One day: larger values would overflow time arithmetic.
    constexpr std::uint32_t max_deadline_ms = 86'400'000;
    const std::string_view text = line->value();
    std::uint32_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end ||
        value > max_deadline_ms)
    {
        return false;
    }
    request.facts.caller_deadline = std::chrono::milliseconds(value);
    return true;
}

/// Reads Expect. False for anything but 100-continue.
bool read_expectation(const http::request_header<>& header,
                      checked_request& request)
{
    const auto line = header.find(http::field::expect);
    if (line == header.end())
    {
        return true;
    }
    request.expects_continue = equal_names(line->value(), "100-continue");
    return request.expects_continue;
}

/// Reads path and query, and removes keys from the query. False when the target
/// is malformed or not an absolute path.
bool read_target(const http::request_header<>& header,
                 const http_interface& names,
                 checked_request& request,
                 key_collector& keys)
{
    const std::string_view target = header.target();
    const auto query_start = target.find('?');
    const std::string_view path = target.substr(0, query_start);
    if (path.empty() || path.front() != '/' ||
        target.find('#') != std::string_view::npos)
    {
        return false;
    }
    if (names.forward_target_unchanged)
    {
        request.facts.path = path;
        request.target = target;
        return true;
    }
    const auto routed = routing_path(path);
    if (!routed)
    {
        return false;
    }
    request.facts.path = *routed;
    request.target = path;
    if (query_start == std::string_view::npos)
    {
        return true;
    }
    std::string query;
    if (!strip_query(target.substr(query_start + 1), keys, query))
    {
        return false;
    }
    if (!query.empty())
    {
        request.target += '?';
        request.target += query;
    }
    return true;
}

/// Reads the host. False when it is missing, repeated or malformed.
bool read_host(const http::request_header<>& header, checked_request& request)
{
    if (header.count(http::field::host) != 1)
    {
        return false;
    }
    const auto host = plain_host(header[http::field::host]);
    if (!host)
    {
        return false;
    }
    request.facts.host = *host;
    return true;
}

/// False when Connection lists a header that decides about framing, routing or
/// repetition: the listed headers are dropped, and these must not be.
bool are_valid_connection_names(const std::vector<std::string>& names)
{
    static constexpr std::array<std::string_view, 4> essential{
        "host", "content-length", "transfer-encoding", "idempotency-key"};
    return std::ranges::none_of(essential,
                                [&names](std::string_view name)
                                {
                                    return contains_name(names, name);
                                });
}

/// True for headers that the fleet replaces or consumes.
bool is_replaced(std::string_view name, const http_interface& names)
{
    return equal_names(name, "content-length") || equal_names(name, "expect") ||
           equal_names(name, "traceparent") ||
           starts_with_name(name, names.reserved_prefix);
}

void append_line(header_lines& lines,
                 std::string_view name,
                 std::string_view value)
{
    lines += name;
    lines += ": ";
    lines += value;
    lines += "\r\n";
}

/// Collects keys from header lines.
void collect_line_keys(const http::request_header<>& header,
                       const http_interface& names,
                       key_collector& keys)
{
    for (const auto& line : header)
    {
        if (line.name() == http::field::authorization)
        {
            keys.add(scheme_key(line.value(), names.key_scheme));
        }
        else if (names.forward_target_unchanged)
        {
            continue;
        }
        else if (equal_names(line.name_string(), "x-api-key"))
        {
            keys.add(trim(line.value()));
        }
        else if (line.name() == http::field::cookie)
        {
            strip_cookies(line.value(), keys);
        }
    }
}

/// Builds the header lines to forward. Authorization is dropped whatever its
/// scheme: a key under a misspelt scheme would otherwise reach a server.
void build_lines(const http::request_header<>& header,
                 const http_interface& names,
                 const std::vector<std::string>& dropped,
                 const key_collector& keys,
                 header_lines& lines)
{
    for (const auto& line : header)
    {
        const std::string_view name = line.name_string();
        if (is_hop_by_hop(name) || contains_name(dropped, name) ||
            is_replaced(name, names) ||
            line.name() == http::field::authorization ||
            (!names.forward_target_unchanged && equal_names(name, "x-api-key")))
        {
            continue;
        }
        std::string value(line.value());
        if (!names.forward_target_unchanged &&
            line.name() == http::field::cookie)
        {
            key_collector ignored;
            value = strip_cookies(value, ignored);
            if (value.empty())
            {
                continue;
            }
        }
        // Drop lines that contain a copy of the key, such as Referer.
        if (keys.occurs_in(value) || keys.occurs_in(name))
        {
            continue;
        }
        append_line(lines, name, value);
    }
}

} // namespace

bool is_well_formed_header(std::string_view head)
{
    std::size_t line_start = 0;
    for (std::size_t index = 0; index < head.size(); ++index)
    {
        const auto byte = static_cast<unsigned char>(head[index]);
        if (byte == '\r')
        {
            if (index + 1 == head.size() || head[index + 1] != '\n')
            {
                return false;
            }
            continue;
        }
        if (byte == '\n')
        {
            if (index == 0 || head[index - 1] != '\r')
            {
                return false;
            }
            line_start = index + 1;
            continue;
        }
        const bool folded =
            index == line_start && (byte == ' ' || byte == '\t');
        const bool control = (byte < 0x20 && byte != '\t') || byte == 0x7f;
        if (folded || control)
        {
            return false;
        }
    }
    return true;
}

bool is_well_formed_beginning(std::string_view input)
{
    if (input.starts_with("\r\n"))
    {
        return true; // the empty line at the end
    }
    std::string_view lines = input.substr(0, input.find("\r\n\r\n"));
    if (lines.ends_with('\r'))
    {
        lines.remove_suffix(1); // its line feed may follow
    }
    return is_well_formed_header(lines);
}

core::result<checked_request>
check_request(const http::request_header<>& header, const http_interface& names)
{
    const std::error_code error =
        core::make_error_code(core::result_code::bad_request);
    checked_request request;
    key_collector keys;
    request.method = std::string_view(header.method_string());
    // TRACE would echo the header, and CONNECT requests a tunnel.
    const bool method_refused = header.method() == http::verb::trace ||
                                header.method() == http::verb::connect;
    if (header.version() != 11 || method_refused ||
        !read_framing(header, request) || !read_host(header, request) ||
        !read_target(header, names, request, keys) ||
        !read_deadline(header, names, request) ||
        !read_expectation(header, request) ||
        header.count(http::field::authorization) > 1 ||
        header.count("Idempotency-Key") > 1)
    {
        return error;
    }
    const std::vector<std::string> dropped = connection_names(header);
    if (!are_valid_connection_names(dropped))
    {
        return error;
    }
    collect_line_keys(header, names, keys);
    if (keys.has_conflict() || keys.occurs_in(request.target) ||
        keys.occurs_in(request.facts.path))
    {
        return error;
    }
    build_lines(header, names, dropped, keys, request.lines);
    if (names.forward_request_id)
    {
        request.id = std::string_view(header[names.request_id]);
    }
    request.close = contains_name(dropped, "close");
    request.facts.method = request.method;
    const auto idempotency_key_line = header.find("Idempotency-Key");
    if (idempotency_key_line != header.end())
    {
        request.facts.idempotency_key =
            std::string_view(idempotency_key_line->value());
    }
    if (!keys.value().empty())
    {
        request.facts.key = digest_key(keys.value());
    }
    if (header.count("traceparent") == 1)
    {
        request.parent = trace::parse(header["traceparent"]);
    }
    return request;
}

core::key_digest digest_key(std::string_view key)
{
    core::key_digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
           digest.data());
    return digest;
}

bool has_unambiguous_framing(const http::response_header<>& header)
{
    const auto lengths = header.count(http::field::content_length);
    const auto encodings = header.count(http::field::transfer_encoding);
    if (encodings == 1 && lengths == 0)
    {
        return equal_names(header[http::field::transfer_encoding], "chunked");
    }
    return encodings == 0 && lengths == 1;
}

header_lines forwarded_answer_lines(const http::response_header<>& header)
{
    const std::vector<std::string> dropped = connection_names(header);
    header_lines lines;
    for (const auto& line : header)
    {
        const std::string_view name = line.name_string();
        if (is_hop_by_hop(name) || contains_name(dropped, name) ||
            line.name() == http::field::content_length ||
            starts_with_name(name, reserved_answer_prefix))
        {
            continue;
        }
        append_line(lines, name, line.value());
    }
    return lines;
}

} // namespace medlarbarrow::net
