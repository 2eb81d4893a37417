#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <cxxopts.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <istream>
#include <medlarbarrow/config/commands.hpp>
#include <medlarbarrow/config/digest.hpp>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/config/edit.hpp>
#include <medlarbarrow/config/inspect.hpp>
#include <medlarbarrow/config/log_trace.hpp>
#include <medlarbarrow/config/report.hpp>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <ostream>

namespace medlarbarrow::config
{

namespace
{

using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::size_t max_key_bytes = 65'536;
constexpr std::int64_t max_timeout_ms = 600'000;

/// Exception that ends a command with a status and a message for the operator.
struct command_error
{
    exit_status status;
    std::string message;
};

/// Arguments and options of one call of a command.
struct invocation
{
    const cxxopts::ParseResult& options;
    std::vector<std::string> arguments;
    const command_environment& environment;

    bool has(const char* option) const
    {
        return this->options.count(option) != 0;
    }

    std::string option_text(const char* option) const
    {
        return this->has(option) ? this->options[option].as<std::string>() : "";
    }

    // Writes a message that is not part of the result.
    void print_message(const std::string& message) const
    {
        this->environment.messages << "medlarctl: " << message << '\n';
    }

    // Prints the result of the command and returns its exit status.
    exit_status print_result(const ordered_json& body, bool is_positive) const
    {
        if (this->has("json"))
        {
            this->environment.output
                << body.dump(2, ' ', false,
                             ordered_json::error_handler_t::replace)
                << '\n';
        }
        else
        {
            this->environment.output << format_text(body);
        }
        return is_positive ? exit_status::ok : exit_status::negative;
    }
};

// Stops when more than `max_bytes` are read, so that the caller can tell that
// the input is too large.
std::string read_stream(std::istream& input, std::size_t max_bytes)
{
    std::string text;
    std::array<char, 65'536> block{};
    while (text.size() <= max_bytes && input)
    {
        input.read(block.data(), block.size());
        text.append(block.data(), static_cast<std::size_t>(input.gcount()));
    }
    return text;
}

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text = read_stream(file, max_document_bytes);
    if (!file.is_open() || file.bad())
    {
        throw command_error{exit_status::failed,
                            path.string() + " cannot be read"};
    }
    return text;
}

// Reads a folder that the command `split` has written.
checked<core::document> read_folder(const std::filesystem::path& folder)
{
    auto index = parse_index(read_file(folder / "index"));
    if (auto* failure = std::get_if<problems>(&index))
    {
        return std::move(*failure);
    }
    const auto& parsed_index = std::get<document_index>(index);
    std::vector<std::string> parts;
    parts.reserve(parsed_index.part_names.size());
    for (const std::string& name : parsed_index.part_names)
    {
        parts.push_back(read_file(folder / name));
    }
    return join_document(parsed_index, parts);
}

// Reads a document from a file, a folder or, for "-", from standard input.
checked<core::document> read_document(const invocation& call,
                                      const std::string& path)
{
    if (path == "-")
    {
        return parse_document(
            read_stream(call.environment.input, max_document_bytes));
    }
    if (std::filesystem::is_directory(path))
    {
        return read_folder(path);
    }
    return parse_document(read_file(path));
}

// The message of the code and, on lines of their own, the problems.
std::string format_problems(const problems& failure)
{
    std::string text = failure.code.message();
    for (const problem& fault : failure.items)
    {
        text += "\n  " + fault.path + (fault.path.empty() ? "" : ": ") +
                fault.message;
    }
    return text;
}

// As read_document(); problems end the command.
core::document load_document(const invocation& call, const std::string& path)
{
    auto loaded = read_document(call, path);
    if (const auto* failure = std::get_if<problems>(&loaded))
    {
        throw command_error{exit_status::negative,
                            path + ": " + format_problems(*failure)};
    }
    return std::get<core::document>(std::move(loaded));
}

ordered_json to_json(const problems& failure)
{
    ordered_json items = ordered_json::array();
    for (const problem& fault : failure.items)
    {
        items.push_back({{"path", fault.path}, {"message", fault.message}});
    }
    return {{"valid", false},
            {"code", failure.code.value()},
            {"reason", failure.code.message()},
            {"problems", std::move(items)}};
}

exit_status check_settings(const invocation& call)
{
    const auto loaded = load_settings(call.arguments[0]);
    if (const auto* failure = std::get_if<problems>(&loaded))
    {
        const bool unreadable =
            failure->code == core::result_code::file_unreadable;
        const exit_status status = call.print_result(to_json(*failure), false);
        return unreadable ? exit_status::failed : status;
    }
    const auto& valid = std::get<settings>(loaded);
    return call.print_result({{"valid", true},
                              {"name", valid.name},
                              {"data_centre", valid.data_centre},
                              {"region", valid.region}},
                             true);
}

exit_status check(const invocation& call)
{
    if (call.has("settings"))
    {
        return check_settings(call);
    }
    const auto loaded = read_document(call, call.arguments[0]);
    if (const auto* failure = std::get_if<problems>(&loaded))
    {
        return call.print_result(to_json(*failure), false);
    }
    const auto& valid = std::get<core::document>(loaded);
    return call.print_result({{"valid", true},
                              {"version", valid.version},
                              {"max_instances", valid.fleet.max_instances},
                              {"services", valid.services.size()},
                              {"servers", list_servers(valid).size()},
                              {"routes", valid.routes.size()},
                              {"accounts", valid.accounts.size()}},
                             true);
}

exit_status diff(const invocation& call)
{
    const ordered_json body =
        compare_documents(load_document(call, call.arguments[0]),
                          load_document(call, call.arguments[1]));
    return call.print_result(body, body["equal"].get<bool>());
}

core::key_digest parse_digest(const std::string& text)
{
    core::key_digest digest{};
    if (!from_hex(text, digest))
    {
        throw command_error{exit_status::usage,
                            "a key digest is 64 lower-case hexadecimal digits; "
                            "`medlarctl digest` computes it"};
    }
    return digest;
}

exit_status explain(const invocation& call)
{
    request_description request;
    request.method = call.has("method") ? call.option_text("method") : "GET";
    request.host = call.option_text("host");
    request.path = call.option_text("path");
    request.account = call.option_text("account");
    if (request.path.empty())
    {
        throw command_error{exit_status::usage, "explain requires --path PATH"};
    }
    if (call.has("key-digest") && call.has("account"))
    {
        throw command_error{
            exit_status::usage,
            "explain accepts either --key-digest or --account, not both"};
    }
    // Instances match the path of a request without its query.
    request.path = request.path.substr(0, request.path.find('?'));
    if (call.has("key-digest"))
    {
        request.key = parse_digest(call.option_text("key-digest"));
    }
    const ordered_json body =
        explain_request(load_document(call, call.arguments[0]), request);
    return call.print_result(body, !body["refused"].get<bool>());
}

exit_status routes(const invocation& call)
{
    return call.print_result(
        list_routes(load_document(call, call.arguments[0])), true);
}

exit_status accounts(const invocation& call)
{
    return call.print_result(
        list_accounts(load_document(call, call.arguments[0])), true);
}

// Prints the changed document.
exit_status print_next_version(const invocation& call,
                               const checked<core::document>& result)
{
    if (const auto* failure = std::get_if<problems>(&result))
    {
        throw command_error{exit_status::negative, format_problems(*failure)};
    }
    const auto& changed = std::get<core::document>(result);
    call.environment.output << format_document(changed);
    call.print_message(
        fmt::format("printed version {} of the document; publish it "
                    "through the console",
                    changed.version));
    return exit_status::ok;
}

exit_status change_operator_command(const invocation& call,
                                    core::operator_command command)
{
    const std::string& argument = call.arguments[1];
    const std::size_t slash = argument.find('/');
    if (slash == std::string::npos)
    {
        throw command_error{exit_status::usage,
                            "the server must be given as SERVICE/SERVER"};
    }
    const std::string service = argument.substr(0, slash);
    const auto result =
        with_operator_command(load_document(call, call.arguments[0]), service,
                              argument.substr(slash + 1), command);
    if (const auto* changed = std::get_if<core::document>(&result))
    {
        if (const std::string warning = floor_warning(*changed, service);
            !warning.empty())
        {
            call.print_message("warning: " + warning);
        }
    }
    return print_next_version(call, result);
}

template <core::operator_command Command>
exit_status apply_operator_command(const invocation& call)
{
    return change_operator_command(call, Command);
}

exit_status withdraw_key(const invocation& call)
{
    const core::key_digest digest = parse_digest(call.arguments[2]);
    return print_next_version(
        call, with_key_withdrawn(load_document(call, call.arguments[0]),
                                 call.arguments[1], digest));
}

double parse_number(const std::string& text)
{
    double value = 0.0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc() || stop != end || !std::isfinite(value))
    {
        throw command_error{exit_status::usage,
                            text + " is not a finite number"};
    }
    return value;
}

exit_status set_rate(const invocation& call)
{
    const double rate = parse_number(call.arguments[2]);
    std::optional<double> burst;
    if (call.arguments.size() > 3)
    {
        burst = parse_number(call.arguments[3]);
    }
    return print_next_version(call,
                              with_rate(load_document(call, call.arguments[0]),
                                        call.arguments[1], rate, burst));
}

// Writes a temporary file and renames it, so that a reader of the folder never
// sees an incomplete value.
void write_value(const std::filesystem::path& path, const std::string& text)
{
    const std::filesystem::path partial = path.string() + ".partial";
    std::ofstream file(partial, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    std::error_code failure;
    if (file)
    {
        std::filesystem::rename(partial, path, failure);
    }
    if (!file || failure)
    {
        throw command_error{exit_status::failed,
                            path.string() + " cannot be written"};
    }
}

// Writes the new parts first and the index last, the order in which the console
// must publish them.
exit_status split(const invocation& call)
{
    const core::document document = load_document(call, call.arguments[0]);
    const std::filesystem::path folder = call.arguments[1];
    std::error_code failure;
    std::filesystem::create_directories(folder, failure);
    if (failure)
    {
        throw command_error{exit_status::failed,
                            folder.string() + " cannot be created"};
    }
    const std::vector<document_value> values = split_document(document);
    std::size_t new_parts = 0;
    std::size_t new_part_bytes = 0;
    for (std::size_t number = 1; number < values.size(); ++number)
    {
        const std::filesystem::path path = folder / values[number].name;
        if (!std::filesystem::exists(path))
        {
            write_value(path, values[number].text);
            new_part_bytes += values[number].text.size();
            ++new_parts;
        }
    }
    write_value(folder / values.front().name, values.front().text);
    return call.print_result(
        {{"version", document.version},
         {"values", values.size()},
         {"new_parts", new_parts},
         {"new_bytes", new_part_bytes + values.front().text.size()}},
        true);
}

exit_status digest(const invocation& call)
{
    std::string key = read_stream(call.environment.input, max_key_bytes);
    while (key.ends_with('\n') || key.ends_with('\r'))
    {
        key.pop_back();
    }
    if (key.empty() || key.size() > max_key_bytes ||
        key.find('\n') != std::string::npos)
    {
        throw command_error{
            exit_status::usage,
            "expected one key of 1 to 65536 bytes on a single line of "
            "standard input"};
    }
    return call.print_result({{"sha256", to_hex(sha256(key))}}, true);
}

endpoint parse_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    endpoint target;
    if (colon != std::string::npos)
    {
        target.address = text.substr(0, colon);
        if (target.address.starts_with('[') && target.address.ends_with(']'))
        {
            target.address =
                target.address.substr(1, target.address.size() - 2);
        }
        const char* end = text.data() + text.size();
        const auto [stop, failure] =
            std::from_chars(text.data() + colon + 1, end, target.port);
        boost::system::error_code bad_address;
        boost::asio::ip::make_address(target.address, bad_address);
        if (failure == std::errc() && stop == end && target.port != 0 &&
            !bad_address)
        {
            return target;
        }
    }
    throw command_error{
        exit_status::usage,
        "--from must be ADDRESS:PORT with an IP address, for example "
        "10.0.0.1:9100 or [::1]:9100"};
}

// Status of the instance with this admin address.
ordered_json read_status(const invocation& call, const std::string& address)
{
    const auto timeout = call.options["timeout-ms"].as<std::int64_t>();
    if (timeout < 1 || timeout > max_timeout_ms)
    {
        throw command_error{exit_status::usage,
                            "--timeout-ms must be from 1 to 600000"};
    }
    const auto response = call.environment.read_status(
        parse_endpoint(address), std::chrono::milliseconds(timeout));
    if (!response)
    {
        throw command_error{exit_status::failed,
                            address + ": " + response.error().message()};
    }
    ordered_json body =
        ordered_json::parse(response.value(), nullptr, false, false);
    if (!body.is_object())
    {
        throw command_error{exit_status::failed,
                            address + ": the response is not a JSON object"};
    }
    return body;
}

std::vector<std::string> require_admin_addresses(const invocation& call)
{
    if (!call.has("from"))
    {
        throw command_error{exit_status::usage,
                            "--from ADDRESS:PORT is required"};
    }
    return call.options["from"].as<std::vector<std::string>>();
}

ordered_json read_single_status(const invocation& call)
{
    const std::vector<std::string> addresses = require_admin_addresses(call);
    if (addresses.size() != 1)
    {
        throw command_error{
            exit_status::usage,
            "this command reads one instance; give --from only once"};
    }
    return read_status(call, addresses.front());
}

bool is_ready(const ordered_json& body)
{
    const auto member = body.find("ready");
    return member != body.end() && member->is_boolean() && member->get<bool>();
}

exit_status status(const invocation& call)
{
    const ordered_json body = read_single_status(call);
    return call.print_result(body, is_ready(body));
}

// Copies those of the members that the body contains, in the given order.
ordered_json select_members(const ordered_json& body,
                            std::initializer_list<const char*> members)
{
    ordered_json selected = ordered_json::object();
    for (const char* member : members)
    {
        if (body.contains(member))
        {
            selected[member] = body[member];
        }
    }
    return selected;
}

exit_status show_versions(const invocation& call)
{
    const ordered_json body = read_single_status(call);
    return call.print_result(
        select_members(body, {"name", "incarnation", "document_version",
                              "list_version", "list_era", "ready"}),
        is_ready(body));
}

// The result is negative while an instance is not ready or has another document
// version than the first, so that a script can wait until one version is in
// force at all instances.
exit_status instances(const invocation& call)
{
    ordered_json rows = ordered_json::array();
    bool all_agree = true;
    for (const std::string& address : require_admin_addresses(call))
    {
        const ordered_json body = read_status(call, address);
        ordered_json row{{"from", address}};
        row.update(select_members(
            body, {"name", "incarnation", "version", "ready",
                   "document_version", "list_version", "list_era",
                   "live_instances", "home_buckets", "majority_buckets"}));
        all_agree =
            all_agree && is_ready(body) &&
            (rows.empty() || rows.front().value("document_version", json()) ==
                                 row.value("document_version", json()));
        rows.push_back(std::move(row));
    }
    return call.print_result(rows, all_agree);
}

exit_status servers(const invocation& call)
{
    if (!call.arguments.empty())
    {
        return call.print_result(
            list_servers(load_document(call, call.arguments[0])), true);
    }
    const ordered_json body = read_single_status(call);
    if (!body.contains("servers") || !body["servers"].is_array())
    {
        throw command_error{exit_status::failed,
                            "the status of the instance has no servers array"};
    }
    return call.print_result(body["servers"], true);
}

// Prints the log lines of a request and those that explain its outcome.
exit_status trace(const invocation& call)
{
    std::vector<log_line> lines;
    for (std::size_t index = 1; index < call.arguments.size(); ++index)
    {
        const std::string& path = call.arguments[index];
        const auto text = config::read_file(path);
        if (!text)
        {
            throw command_error{exit_status::failed, path + " cannot be read"};
        }
        std::istringstream log(*text);
        for (std::string line; std::getline(log, line);)
        {
            lines.push_back(parse_log_line(path, line));
        }
    }
    const request_trace traced_request =
        trace_request(call.arguments.front(), lines);
    if (traced_request.end_lines.empty())
    {
        throw command_error{exit_status::negative,
                            "no request_ended line has this request id"};
    }
    ordered_json rows = ordered_json::array();
    const auto add = [&rows](const log_line& line)
    {
        rows.push_back({{"file", line.file}, {"line", line.text}});
    };
    std::for_each(traced_request.context_lines.begin(),
                  traced_request.context_lines.end(), add);
    std::for_each(traced_request.end_lines.begin(),
                  traced_request.end_lines.end(), add);
    return call.print_result(rows, true);
}

/// One row of the table of commands.
struct command
{
    std::string_view name;
    std::string_view arguments_help; ///< positional arguments, for the help
    std::size_t min_arguments;
    std::size_t max_arguments;
    std::string_view options; ///< accepted besides --json, space-separated
    std::string_view summary;
    exit_status (*run)(const invocation&);
};

using core::operator_command;

constexpr std::array commands{
    command{"check", "FILE", 1, 1, "settings",
            "checks a document, a folder written by `split` or, with "
            "--settings, a settings file",
            check},
    command{"diff", "OLD NEW", 2, 2, "",
            "shows the differences of two documents", diff},
    command{"explain", "FILE", 1, 1, "method path host key-digest account",
            "shows how an instance would handle a request", explain},
    command{"routes", "FILE", 1, 1, "", "lists the routes", routes},
    command{"accounts", "FILE", 1, 1, "", "lists the client accounts",
            accounts},
    command{"servers", "[FILE]", 0, 1, "from timeout-ms",
            "lists the backend servers of a document or, with --from, in the "
            "view of an instance",
            servers},
    command{"drain", "FILE SERVICE/SERVER", 2, 2, "",
            "sends a server no new requests; running requests finish",
            apply_operator_command<operator_command::drain>},
    command{"undrain", "FILE SERVICE/SERVER", 2, 2, "",
            "removes the command drain or readmit from a server",
            apply_operator_command<operator_command::none>},
    command{"eject", "FILE SERVICE/SERVER", 2, 2, "",
            "ejects a server: it gets no new requests from now on",
            apply_operator_command<operator_command::eject>},
    command{"hold", "FILE SERVICE/SERVER", 2, 2, "",
            "ejects a server until it is readmitted",
            apply_operator_command<operator_command::hold>},
    command{"readmit", "FILE SERVICE/SERVER", 2, 2, "",
            "returns a server to service and ends an automatic ejection",
            apply_operator_command<operator_command::readmit>},
    command{"withdraw-key", "FILE ACCOUNT DIGEST", 3, 3, "",
            "withdraws a key of an account", withdraw_key},
    command{"set-rate", "FILE ACCOUNT RATE [BURST]", 3, 4, "",
            "sets the requests per second of an account and its burst",
            set_rate},
    command{"split", "FILE FOLDER", 2, 2, "",
            "writes the values that the console publishes on the platform",
            split},
    command{"digest", "", 0, 0, "",
            "prints the SHA-256 of the key on standard input", digest},
    command{"status", "", 0, 0, "from timeout-ms",
            "shows the status of an instance", status},
    command{"instances", "", 0, 0, "from timeout-ms",
            "shows one line for each instance; repeat --from for more",
            instances},
    command{"config", "", 0, 0, "from timeout-ms",
            "shows the versions in force at an instance", show_versions},
    command{"trace", "REQUEST-ID LOG-FILE...", 2, 10'000, "",
            "shows the log lines that explain a request", trace},
};

constexpr std::string_view closing_help = R"(
FILE is a document, a folder that `split` has written, or - for standard input.
drain, undrain, eject, hold, readmit, withdraw-key and set-rate print the next
version of the document. medlarctl cannot write to the platform: the console
publishes the document.
Exit status: 0 success, 1 negative result, 2 wrong usage, 3 file or network
error.
)";

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "medlarctl",
        "Command-line tool for operators of a medlarbarrow fleet.\n");
    options.custom_help("COMMAND [ARGUMENTS] [OPTIONS]");
    const auto text = []
    {
        return cxxopts::value<std::string>();
    };
    options.add_options()("json", "print JSON instead of text")(
        "settings", "check: the file contains the settings of an instance")(
        "method", "explain: HTTP method (default GET)", text(),
        "METHOD")("path", "explain: path of the request", text(), "PATH")(
        "host", "explain: host of the request", text(), "HOST")(
        "key-digest", "explain: SHA-256 of the caller's key", text(), "DIGEST")(
        "account", "explain: client account that sends the request", text(),
        "ACCOUNT")("from", "admin address of an instance",
                   cxxopts::value<std::vector<std::string>>(), "ADDRESS:PORT")(
        "timeout-ms", "timeout of a response in milliseconds",
        cxxopts::value<std::int64_t>()->default_value("3000"),
        "MS")("h,help", "print this help");
    return options;
}

std::string help_text(const cxxopts::Options& options)
{
    std::string text = options.help() + "\nCommands:\n";
    for (const command& listed : commands)
    {
        text += fmt::format("  {:<13}{:<26} {}\n", listed.name,
                            listed.arguments_help, listed.summary);
    }
    return text + std::string(closing_help);
}

const command& find_command(const std::string& name)
{
    const auto position = std::find_if(commands.begin(), commands.end(),
                                       [&name](const command& candidate)
                                       {
                                           return candidate.name == name;
                                       });
    if (position == commands.end())
    {
        throw command_error{exit_status::usage,
                            "unknown command " + name +
                                "; --help lists the commands"};
    }
    return *position;
}

// Rejects options that the command would ignore, and a wrong number of
// arguments.
void check_usage(const command& selected, const invocation& call)
{
    const std::string accepted = fmt::format(" json {} ", selected.options);
    for (const cxxopts::KeyValue& option : call.options.arguments())
    {
        if (accepted.find(" " + option.key() + " ") == std::string::npos)
        {
            throw command_error{exit_status::usage,
                                fmt::format("{} does not accept --{}",
                                            selected.name, option.key())};
        }
    }
    const bool reads_file = !call.arguments.empty();
    const bool invalid_count = call.arguments.size() < selected.min_arguments ||
                               call.arguments.size() > selected.max_arguments;
    if (invalid_count || (reads_file && call.has("from")))
    {
        throw command_error{exit_status::usage,
                            fmt::format("usage: medlarctl {} {}", selected.name,
                                        selected.arguments_help)};
    }
}

exit_status dispatch(const cxxopts::Options& options,
                     const cxxopts::ParseResult& parsed,
                     const command_environment& environment)
{
    std::vector<std::string> arguments = parsed.unmatched();
    if (parsed.count("help") != 0)
    {
        environment.output << help_text(options);
        return exit_status::ok;
    }
    if (arguments.empty())
    {
        throw command_error{exit_status::usage,
                            "expected a command; --help lists the commands"};
    }
    const command& selected = find_command(arguments.front());
    arguments.erase(arguments.begin());
    const invocation call{parsed, std::move(arguments), environment};
    check_usage(selected, call);
    return selected.run(call);
}

} // namespace

exit_status run_command(const std::vector<std::string>& arguments,
                        const command_environment& environment)
{
    std::vector<const char*> argv{"medlarctl"};
    for (const std::string& argument : arguments)
    {
        argv.push_back(argument.c_str());
    }
    try
    {
        cxxopts::Options options = make_options();
        const cxxopts::ParseResult parsed =
            options.parse(static_cast<int>(argv.size()), argv.data());
        return dispatch(options, parsed, environment);
    }
    catch (const command_error& error)
    {
        environment.messages << "medlarctl: " << error.message << '\n';
        return error.status;
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        environment.messages << "medlarctl: " << error.what() << '\n';
        return exit_status::usage;
    }
    catch (const std::filesystem::filesystem_error& error)
    {
        environment.messages << "medlarctl: " << error.what() << '\n';
        return exit_status::failed;
    }
}

} // namespace medlarbarrow::config
