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

/// Ends a command with a status and a message for the operator.
struct command_end
{
    exit_status status;
    std::string message;
};

/// One call: its words after the command and its options.
struct invocation
{
    const cxxopts::ParseResult& options;
    std::vector<std::string> words;
    const command_environment& environment;

    bool has(const char* option) const
    {
        return this->options.count(option) != 0;
    }

    std::string text(const char* option) const
    {
        return this->has(option) ? this->options[option].as<std::string>() : "";
    }

    void note(const std::string& message) const
    {
        this->environment.messages << "medlarctl: " << message << '\n';
    }

    exit_status show(const ordered_json& body, bool positive) const
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
        return positive ? exit_status::ok : exit_status::negative;
    }
};

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
        throw command_end{exit_status::failed,
                          path.string() + " cannot be read"};
    }
    return text;
}

// Reads a folder that `split` has written.
checked<core::document> read_folder(const std::filesystem::path& folder)
{
    auto index = parse_index(read_file(folder / "index"));
    if (auto* found = std::get_if<problems>(&index))
    {
        return std::move(*found);
    }
    const auto& named = std::get<document_index>(index);
    std::vector<std::string> parts;
    parts.reserve(named.part_names.size());
    for (const std::string& name : named.part_names)
    {
        parts.push_back(read_file(folder / name));
    }
    return join_document(named, parts);
}

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

std::string lines_of(const problems& found)
{
    std::string text = found.code.message();
    for (const problem& item : found.items)
    {
        text +=
            "\n  " + item.path + (item.path.empty() ? "" : ": ") + item.message;
    }
    return text;
}

core::document need_document(const invocation& call, const std::string& path)
{
    auto read = read_document(call, path);
    if (const auto* found = std::get_if<problems>(&read))
    {
        throw command_end{exit_status::negative,
                          path + ": " + lines_of(*found)};
    }
    return std::get<core::document>(std::move(read));
}

ordered_json to_json(const problems& found)
{
    ordered_json items = ordered_json::array();
    for (const problem& item : found.items)
    {
        items.push_back({{"path", item.path}, {"message", item.message}});
    }
    return {{"valid", false},
            {"code", found.code.value()},
            {"reason", found.code.message()},
            {"problems", std::move(items)}};
}

exit_status check_settings(const invocation& call)
{
    const auto read = load_settings(call.words[0]);
    if (const auto* found = std::get_if<problems>(&read))
    {
        const bool unreadable =
            found->code == core::result_code::file_unreadable;
        const exit_status status = call.show(to_json(*found), false);
        return unreadable ? exit_status::failed : status;
    }
    const auto& valid = std::get<settings>(read);
    return call.show({{"valid", true},
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
    const auto read = read_document(call, call.words[0]);
    if (const auto* found = std::get_if<problems>(&read))
    {
        return call.show(to_json(*found), false);
    }
    const auto& valid = std::get<core::document>(read);
    return call.show({{"valid", true},
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
    const ordered_json body = compare_documents(
        need_document(call, call.words[0]), need_document(call, call.words[1]));
    return call.show(body, body["equal"].get<bool>());
}

core::key_digest need_digest(const std::string& text)
{
    core::key_digest digest{};
    if (!from_hex(text, digest))
    {
        throw command_end{exit_status::usage,
                          "a key digest has 64 lower-case hexadecimal digits; "
                          "`medlarctl digest` computes it"};
    }
    return digest;
}

exit_status explain(const invocation& call)
{
    request_question question;
    question.method = call.has("method") ? call.text("method") : "GET";
    question.host = call.text("host");
    question.path = call.text("path");
    question.account = call.text("account");
    if (question.path.empty())
    {
        throw command_end{exit_status::usage, "explain needs --path"};
    }
    if (call.has("key-digest") && call.has("account"))
    {
        throw command_end{exit_status::usage,
                          "explain takes one of --key-digest and --account"};
    }
    // The path of a request is matched without its query.
    question.path = question.path.substr(0, question.path.find('?'));
    if (call.has("key-digest"))
    {
        question.key = need_digest(call.text("key-digest"));
    }
    const ordered_json body =
        explain_request(need_document(call, call.words[0]), question);
    return call.show(body, !body["refused"].get<bool>());
}

exit_status routes(const invocation& call)
{
    return call.show(list_routes(need_document(call, call.words[0])), true);
}

exit_status accounts(const invocation& call)
{
    return call.show(list_accounts(need_document(call, call.words[0])), true);
}

exit_status print_next(const invocation& call,
                       const checked<core::document>& next)
{
    if (const auto* found = std::get_if<problems>(&next))
    {
        throw command_end{exit_status::negative, lines_of(*found)};
    }
    const auto& changed = std::get<core::document>(next);
    call.environment.output << format_document(changed);
    call.note(fmt::format("this is version {}; publish it through the console",
                          changed.version));
    return exit_status::ok;
}

exit_status set_command(const invocation& call, core::operator_command command)
{
    const std::string& word = call.words[1];
    const std::size_t slash = word.find('/');
    if (slash == std::string::npos)
    {
        throw command_end{exit_status::usage, "expected SERVICE/SERVER"};
    }
    const std::string service = word.substr(0, slash);
    const auto next = with_order(need_document(call, call.words[0]), service,
                                 word.substr(slash + 1), command);
    if (const auto* changed = std::get_if<core::document>(&next))
    {
        if (const std::string warning = floor_warning(*changed, service);
            !warning.empty())
        {
            call.note("warning: " + warning);
        }
    }
    return print_next(call, next);
}

template <core::operator_command Order>
exit_status order(const invocation& call)
{
    return set_command(call, Order);
}

exit_status withdraw_key(const invocation& call)
{
    const core::key_digest digest = need_digest(call.words[2]);
    return print_next(call,
                      with_key_withdrawn(need_document(call, call.words[0]),
                                         call.words[1], digest));
}

double need_number(const std::string& text)
{
    double value = 0.0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc() || stop != end || !std::isfinite(value))
    {
        throw command_end{exit_status::usage, text + " is not a number"};
    }
    return value;
}

exit_status set_rate(const invocation& call)
{
    const double rate = need_number(call.words[2]);
    std::optional<double> burst;
    if (call.words.size() > 3)
    {
        burst = need_number(call.words[3]);
    }
    return print_next(call, with_rate(need_document(call, call.words[0]),
                                      call.words[1], rate, burst));
}

// A reader of the folder sees a whole value or none.
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
        throw command_end{exit_status::failed,
                          path.string() + " cannot be written"};
    }
}

// Parts first and the index last, as the console must publish them.
exit_status split(const invocation& call)
{
    const core::document source = need_document(call, call.words[0]);
    const std::filesystem::path folder = call.words[1];
    std::error_code failure;
    std::filesystem::create_directories(folder, failure);
    if (failure)
    {
        throw command_end{exit_status::failed,
                          folder.string() + " cannot be created"};
    }
    const std::vector<document_value> values = split_document(source);
    std::size_t written = 0;
    std::size_t bytes = 0;
    for (std::size_t number = 1; number < values.size(); ++number)
    {
        const std::filesystem::path path = folder / values[number].name;
        if (!std::filesystem::exists(path))
        {
            write_value(path, values[number].text);
            bytes += values[number].text.size();
            ++written;
        }
    }
    write_value(folder / values.front().name, values.front().text);
    return call.show({{"version", source.version},
                      {"values", values.size()},
                      {"new_parts", written},
                      {"new_bytes", bytes + values.front().text.size()}},
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
        throw command_end{exit_status::usage,
                          "expected one key on standard input"};
    }
    return call.show({{"sha256", to_hex(sha256(key))}}, true);
}

endpoint need_endpoint(const std::string& text)
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
    throw command_end{exit_status::usage,
                      "expected ADDRESS:PORT with an IP address, for example "
                      "10.0.0.1:9100 or [::1]:9100"};
}

ordered_json read_status(const invocation& call, const std::string& from)
{
    const auto timeout = call.options["timeout-ms"].as<std::int64_t>();
    if (timeout < 1 || timeout > max_timeout_ms)
    {
        throw command_end{exit_status::usage,
                          "expected --timeout-ms from 1 to 600000"};
    }
    const auto answer = call.environment.read_status(
        need_endpoint(from), std::chrono::milliseconds(timeout));
    if (!answer)
    {
        throw command_end{exit_status::failed,
                          from + ": " + answer.error().message()};
    }
    ordered_json body =
        ordered_json::parse(answer.value(), nullptr, false, false);
    if (!body.is_object())
    {
        throw command_end{exit_status::failed,
                          from + ": the answer is not a status"};
    }
    return body;
}

std::vector<std::string> need_sources(const invocation& call)
{
    if (!call.has("from"))
    {
        throw command_end{exit_status::usage, "expected --from ADDRESS:PORT"};
    }
    return call.options["from"].as<std::vector<std::string>>();
}

ordered_json read_one_status(const invocation& call)
{
    const std::vector<std::string> sources = need_sources(call);
    if (sources.size() != 1)
    {
        throw command_end{exit_status::usage,
                          "this command reads one instance; give --from once"};
    }
    return read_status(call, sources.front());
}

bool is_ready(const ordered_json& body)
{
    const auto ready = body.find("ready");
    return ready != body.end() && ready->is_boolean() && ready->get<bool>();
}

exit_status status(const invocation& call)
{
    const ordered_json body = read_one_status(call);
    return call.show(body, is_ready(body));
}

// The chosen members that the body has, in this order.
ordered_json select(const ordered_json& body,
                    std::initializer_list<const char*> members)
{
    ordered_json chosen = ordered_json::object();
    for (const char* member : members)
    {
        if (body.contains(member))
        {
            chosen[member] = body[member];
        }
    }
    return chosen;
}

exit_status config_in_force(const invocation& call)
{
    const ordered_json body = read_one_status(call);
    return call.show(select(body, {"name", "incarnation", "document_version",
                                   "list_version", "ready"}),
                     is_ready(body));
}

// Negative while an instance is not ready or holds another version, so that a
// script can wait until a version is in force everywhere.
exit_status instances(const invocation& call)
{
    ordered_json rows = ordered_json::array();
    bool agreed = true;
    for (const std::string& from : need_sources(call))
    {
        const ordered_json body = read_status(call, from);
        ordered_json row{{"from", from}};
        row.update(
            select(body, {"name", "incarnation", "version", "ready",
                          "document_version", "list_version", "live_instances",
                          "home_buckets", "majority_buckets"}));
        agreed =
            agreed && is_ready(body) &&
            (rows.empty() || rows.front().value("document_version", json()) ==
                                 row.value("document_version", json()));
        rows.push_back(std::move(row));
    }
    return call.show(rows, agreed);
}

exit_status servers(const invocation& call)
{
    if (!call.words.empty())
    {
        return call.show(list_servers(need_document(call, call.words[0])),
                         true);
    }
    const ordered_json body = read_one_status(call);
    if (!body.contains("servers") || !body["servers"].is_array())
    {
        throw command_end{exit_status::failed, "the answer has no servers"};
    }
    return call.show(body["servers"], true);
}

/// One row of the table of commands.
// Prints the line of a request and those that explain it.
exit_status trace(const invocation& call)
{
    std::vector<log_line> lines;
    for (std::size_t index = 1; index < call.words.size(); ++index)
    {
        const std::string& path = call.words[index];
        const auto text = config::read_file(path);
        if (!text)
        {
            throw command_end{exit_status::failed, path + " cannot be read"};
        }
        std::istringstream rows(*text);
        for (std::string row; std::getline(rows, row);)
        {
            lines.push_back(parse_log_line(path, row));
        }
    }
    const request_trace found = trace_request(call.words.front(), lines);
    if (found.ends.empty())
    {
        throw command_end{exit_status::negative,
                          "no request_ended line has this id"};
    }
    ordered_json rows = ordered_json::array();
    const auto add = [&rows](const log_line& line)
    {
        rows.push_back({{"file", line.source}, {"line", line.text}});
    };
    std::for_each(found.context.begin(), found.context.end(), add);
    std::for_each(found.ends.begin(), found.ends.end(), add);
    return call.show(rows, true);
}

struct command
{
    std::string_view name;
    std::string_view words;
    std::size_t least_words;
    std::size_t most_words;
    std::string_view options; ///< accepted besides --json, space-separated
    std::string_view summary;
    exit_status (*run)(const invocation&);
};

using core::operator_command;

constexpr std::array commands{
    command{"check", "FILE", 1, 1, "settings",
            "checks a document, a folder of `split` or, with --settings, a "
            "settings file",
            check},
    command{"diff", "OLD NEW", 2, 2, "", "shows what differs", diff},
    command{"explain", "FILE", 1, 1, "method path host key-digest account",
            "shows what happens to a request", explain},
    command{"routes", "FILE", 1, 1, "", "lists the routes", routes},
    command{"accounts", "FILE", 1, 1, "", "lists the client accounts",
            accounts},
    command{"servers", "[FILE]", 0, 1, "from timeout-ms",
            "lists the backend servers of a document or, with --from, as an "
            "instance sees them",
            servers},
    command{"drain", "FILE SERVICE/SERVER", 2, 2, "",
            "running requests finish, no new work",
            order<operator_command::drain>},
    command{"undrain", "FILE SERVICE/SERVER", 2, 2, "",
            "removes a drain or readmit order", order<operator_command::none>},
    command{"eject", "FILE SERVICE/SERVER", 2, 2, "", "no new work now",
            order<operator_command::eject>},
    command{"hold", "FILE SERVICE/SERVER", 2, 2, "",
            "keeps the server ejected until it is readmitted",
            order<operator_command::hold>},
    command{"readmit", "FILE SERVICE/SERVER", 2, 2, "",
            "back into service, ends an automatic ejection",
            order<operator_command::readmit>},
    command{"withdraw-key", "FILE ACCOUNT DIGEST", 3, 3, "",
            "withdraws a key of an account", withdraw_key},
    command{"set-rate", "FILE ACCOUNT RATE [BURST]", 3, 4, "",
            "sets the requests per second of an account", set_rate},
    command{"split", "FILE FOLDER", 2, 2, "",
            "writes the values to publish on the platform", split},
    command{"digest", "", 0, 0, "",
            "prints the SHA-256 of the key on standard input", digest},
    command{"status", "", 0, 0, "from timeout-ms", "status of an instance",
            status},
    command{"instances", "", 0, 0, "from timeout-ms",
            "one line for each instance; --from is repeated", instances},
    command{"config", "", 0, 0, "from timeout-ms",
            "versions in force at an instance", config_in_force},
    command{"trace", "REQUEST-ID LOG-FILE...", 2, 10'000, "",
            "shows the log lines that explain a request", trace},
};

constexpr std::string_view closing_help = R"(
FILE is a document, a folder that `split` has written, or - for standard input.
drain, undrain, eject, hold, readmit, withdraw-key and set-rate print the next
version of the document. Nothing can be written to the platform from here: the
console publishes it.
Exit status: 0 ok, 1 the answer is negative, 2 usage, 3 file or network.
)";

cxxopts::Options make_options()
{
    cxxopts::Options options("medlarctl", "Operates a medlarbarrow fleet.\n");
    options.custom_help("COMMAND [WORDS] [OPTIONS]");
    const auto text = []
    {
        return cxxopts::value<std::string>();
    };
    options.add_options()("json", "print JSON for programs")(
        "settings", "check: the file holds settings of an instance")(
        "method", "explain: HTTP method (default GET)", text(),
        "METHOD")("path", "explain: path of the request", text(), "PATH")(
        "host", "explain: host of the request", text(), "HOST")(
        "key-digest", "explain: SHA-256 of the caller's key", text(), "DIGEST")(
        "account", "explain: as this client account", text(), "ACCOUNT")(
        "from", "admin address of an instance",
        cxxopts::value<std::vector<std::string>>(),
        "ADDRESS:PORT")("timeout-ms", "time for an answer in milliseconds",
                        cxxopts::value<std::int64_t>()->default_value("3000"),
                        "MS")("h,help", "print this help");
    return options;
}

std::string help_text(const cxxopts::Options& options)
{
    std::string text = options.help() + "\nCommands:\n";
    for (const command& item : commands)
    {
        text += fmt::format("  {:<13}{:<26} {}\n", item.name, item.words,
                            item.summary);
    }
    return text + std::string(closing_help);
}

const command& need_command(const std::string& name)
{
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&name](const command& item)
                                    {
                                        return item.name == name;
                                    });
    if (found == commands.end())
    {
        throw command_end{exit_status::usage,
                          "there is no command " + name +
                              "; --help lists the commands"};
    }
    return *found;
}

// An option that a command would ignore is refused.
void check_usage(const command& wanted, const invocation& call)
{
    const std::string accepted = fmt::format(" json {} ", wanted.options);
    for (const cxxopts::KeyValue& option : call.options.arguments())
    {
        if (accepted.find(" " + option.key() + " ") == std::string::npos)
        {
            throw command_end{exit_status::usage,
                              fmt::format("{} does not take --{}", wanted.name,
                                          option.key())};
        }
    }
    const bool reads_file = !call.words.empty();
    const bool wrong_count = call.words.size() < wanted.least_words ||
                             call.words.size() > wanted.most_words;
    if (wrong_count || (reads_file && call.has("from")))
    {
        throw command_end{
            exit_status::usage,
            fmt::format("usage: medlarctl {} {}", wanted.name, wanted.words)};
    }
}

exit_status run_parsed(const cxxopts::Options& options,
                       const cxxopts::ParseResult& parsed,
                       const command_environment& environment)
{
    std::vector<std::string> words = parsed.unmatched();
    if (parsed.count("help") != 0)
    {
        environment.output << help_text(options);
        return exit_status::ok;
    }
    if (words.empty())
    {
        throw command_end{exit_status::usage,
                          "expected a command; --help lists the commands"};
    }
    const command& wanted = need_command(words.front());
    words.erase(words.begin());
    const invocation call{parsed, std::move(words), environment};
    check_usage(wanted, call);
    return wanted.run(call);
}

} // namespace

exit_status run_command(const std::vector<std::string>& arguments,
                        const command_environment& environment)
{
    std::vector<const char*> words{"medlarctl"};
    for (const std::string& argument : arguments)
    {
        words.push_back(argument.c_str());
    }
    try
    {
        cxxopts::Options options = make_options();
        const cxxopts::ParseResult parsed =
            options.parse(static_cast<int>(words.size()), words.data());
        return run_parsed(options, parsed, environment);
    }
    catch (const command_end& end)
    {
        environment.messages << "medlarctl: " << end.message << '\n';
        return end.status;
    }
    catch (const cxxopts::exceptions::exception& failure)
    {
        environment.messages << "medlarctl: " << failure.what() << '\n';
        return exit_status::usage;
    }
    catch (const std::filesystem::filesystem_error& failure)
    {
        environment.messages << "medlarctl: " << failure.what() << '\n';
        return exit_status::failed;
    }
}

} // namespace medlarbarrow::config
