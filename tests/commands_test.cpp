#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <medlarbarrow/config/commands.hpp>
#include <medlarbarrow/config/document.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <tests/process.hpp>
#include <unistd.h>

using namespace medlarbarrow;
using config::exit_status;
using nlohmann::json;

namespace
{

// A document with a route that is not repeatable, an open route, two servers
// and two accounts.
const char* const document_text = R"({
  "version": 7,
  "fleet": {"max_instances": 4},
  "data_centres": [{"name": "suva", "region": "viti-levu"}],
  "services": [{"name": "dispatch", "policy": {"healthy_floor": 0.6},
    "servers": [
      {"name": "d1", "address": "127.0.0.1", "port": 9001, "slots": 2,
       "data_centre": "suva"},
      {"name": "d2", "address": "127.0.0.1", "port": 9002, "slots": 2,
       "data_centre": "suva", "order": "hold"}]}],
  "routes": [
    {"name": "drums", "path_prefix": "/drums", "methods": ["POST"],
     "service": "dispatch", "repeatable": false, "accounts": ["shop"]},
    {"name": "guides", "path_prefix": "/guides", "service": "dispatch",
     "access": "open"}],
  "accounts": [
    {"name": "shop", "rate_per_second": 5, "keys": [{"sha256":
"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}]},
    {"name": "closed", "rate_per_second": 0, "keys": [{"withdrawn": true,
"sha256":
"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}]}]
})";

// SHA-256 of the key "secret".
const std::string secret_digest =
    "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

std::string status_text(int version, bool ready)
{
    return json{{"name", "i1"},
                {"incarnation", 5},
                {"version", "0.1.0"},
                {"document_version", version},
                {"ready", ready},
                {"servers",
                 {{{"service", "dispatch"},
                   {"server", "d1\x1b[2J"},
                   {"state", "ejected"}}}}}
        .dump();
}

} // namespace

/// Given a folder with a valid document, and instances that answer requests for
/// their status.
class the_commands : public testing::Test
{
protected:
    the_commands()
    {
        std::filesystem::create_directories(this->folder);
        this->write("document.json", document_text);
    }

    ~the_commands() override
    {
        std::filesystem::remove_all(this->folder);
    }

    std::string write(const std::string& name, const std::string& text)
    {
        std::ofstream(this->path(name)) << text;
        return this->path(name);
    }

    std::string path(const std::string& name) const
    {
        return (this->folder / name).string();
    }

    // Runs a command; the argument "F" stands for the path of the document.
    exit_status run(std::vector<std::string> arguments,
                    const std::string& input_text = "")
    {
        for (std::string& argument : arguments)
        {
            argument = argument == "F" ? this->path("document.json") : argument;
        }
        std::istringstream input(input_text);
        std::ostringstream output;
        std::ostringstream messages;
        const auto read_status =
            [this](const config::endpoint& admin,
                   std::chrono::milliseconds) -> core::result<std::string>
        {
            const auto instance = this->instances.find(admin.port);
            if (instance == this->instances.end())
            {
                return std::make_error_code(std::errc::connection_refused);
            }
            return instance->second;
        };
        const exit_status status = config::run_command(
            arguments, {input, output, messages, read_status});
        this->output = output.str();
        this->messages = messages.str();
        return status;
    }

    json run_json(std::vector<std::string> arguments)
    {
        arguments.emplace_back("--json");
        this->run(arguments);
        return json::parse(this->output, nullptr, false);
    }

    std::filesystem::path folder =
        std::filesystem::temp_directory_path() /
        ("commands_test-" + std::to_string(getpid()));
    std::map<int, std::string> instances{{9100, status_text(7, true)},
                                         {9101, status_text(7, true)},
                                         {9102, status_text(6, true)},
                                         {9103, status_text(7, false)},
                                         {9104, "not json"}};
    std::string output;
    std::string messages;
};

// Guards against scripts that mistake wrong usage for a negative result.
TEST_F(the_commands, exit_with_2_after_wrong_usage)
{
    const std::vector<std::vector<std::string>> cases{
        {},
        {"reload"},
        {"check"},
        {"check", "F", "more"},
        {"check", "F", "--colour"},
        {"check", "F", "--path", "/x"},
        {"explain", "F"},
        {"explain", "F", "--path", "/drums", "--key-digest", "abc"},
        {"explain", "F", "--path", "/", "--account", "shop", "--key-digest",
         secret_digest},
        {"drain", "F", "d1"},
        {"set-rate", "F", "shop", "fast"},
        {"set-rate", "F", "shop", "nan"},
        {"withdraw-key", "F", "shop", "secret"},
        {"digest"},
        {"status"},
        {"status", "--from", "localhost:9100"},
        {"status", "--from", "127.0.0.1:0"},
        {"status", "--from", "127.0.0.1:9100", "--timeout-ms", "0"},
        {"servers", "F", "--from", "127.0.0.1:9100"}};
    for (const auto& arguments : cases)
    {
        EXPECT_EQ(this->run(arguments), exit_status::usage) << json(arguments);
        EXPECT_FALSE(this->messages.empty());
        EXPECT_TRUE(this->output.empty());
    }
}

// Guards against scripts that mistake a file or network error for a negative
// result.
TEST_F(the_commands, exit_with_3_when_a_file_or_the_network_fails)
{
    EXPECT_EQ(this->run({"check", "no/such/file"}), exit_status::failed);
    EXPECT_EQ(this->run({"check", "--settings", "no/file"}),
              exit_status::failed);
    EXPECT_EQ(this->run({"split", "F", this->path("document.json") + "/x"}),
              exit_status::failed);
    EXPECT_EQ(this->run({"status", "--from", "127.0.0.1:1"}),
              exit_status::failed);
    EXPECT_EQ(this->run({"status", "--from", "127.0.0.1:9104"}),
              exit_status::failed);
}

// Guards against an invalid document that is accepted or whose problems are not
// located.
TEST_F(the_commands, check_a_document_and_report_its_problems)
{
    EXPECT_EQ(this->run({"check", "F"}), exit_status::ok);
    EXPECT_EQ(this->run({"check", "-"}, document_text), exit_status::ok);
    const std::string broken = this->write("broken.json", R"({"version":0})");
    EXPECT_EQ(this->run({"check", broken}), exit_status::negative);
    const json report = this->run_json({"check", broken});
    EXPECT_EQ(report["valid"], false);
    EXPECT_EQ(report["problems"][0]["path"], "/version");
    EXPECT_EQ(this->run({"routes", broken}), exit_status::negative);
    EXPECT_EQ(this->run({"check", "--settings", "F"}), exit_status::negative);
}

// Guards against an explanation that differs from the decision of an instance.
TEST_F(the_commands, explain_why_a_request_is_refused)
{
    const auto explained_code = [this](std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), {"explain", "F"});
        return this->run_json(arguments).value("code_name", "accepted");
    };
    EXPECT_EQ(explained_code({"--path", "/x"}), "no_route");
    EXPECT_EQ(explained_code({"--path", "/drums"}), "no_route");
    const std::vector<std::string> post_request{"--path", "/drums?x=1",
                                                "--method", "POST"};
    const auto explained_code_with =
        [&](const std::string& option, const std::string& value)
    {
        std::vector<std::string> arguments = post_request;
        arguments.insert(arguments.end(), {option, value});
        return explained_code(arguments);
    };
    EXPECT_EQ(explained_code(post_request), "key_missing");
    EXPECT_EQ(explained_code_with("--key-digest", std::string(64, 'b')),
              "key_unknown");
    EXPECT_EQ(explained_code_with("--key-digest", std::string(64, 'a')),
              "key_withdrawn");
    EXPECT_EQ(explained_code_with("--account", "closed"),
              "account_not_allowed");
    EXPECT_EQ(explained_code_with("--key-digest", secret_digest), "accepted");
    EXPECT_EQ(this->run({"explain", "F", "--path", "/x"}),
              exit_status::negative);
    const json explanation =
        this->run_json({"explain", "F", "--path", "/guides/1"});
    EXPECT_EQ(explanation["route"], "guides");
    EXPECT_EQ(explanation["servers"][0]["candidate"], true);
    EXPECT_EQ(explanation["servers"][1]["candidate"], false);
}

// Guards against a change that does not increase the version by one or is not
// validated, and against a removal of an operator command that only readmit may
// end.
TEST_F(the_commands, print_the_next_version_of_a_changed_document)
{
    const auto command_after =
        [this](const std::string& command, const std::string& server)
    {
        EXPECT_EQ(this->run({command, "F", "dispatch/" + server}),
                  exit_status::ok);
        const json changed = json::parse(this->output);
        EXPECT_EQ(changed["version"], 8);
        const int index = server == "d1" ? 0 : 1;
        return changed["services"][0]["servers"][index].value("order", "none");
    };
    EXPECT_EQ(command_after("drain", "d1"), "drain");
    EXPECT_NE(this->messages.find("below its healthy_floor"),
              std::string::npos);
    EXPECT_EQ(command_after("eject", "d1"), "eject");
    EXPECT_EQ(command_after("readmit", "d2"), "readmit");
    EXPECT_EQ(this->run({"undrain", "F", "dispatch/d1"}),
              exit_status::negative);
    EXPECT_EQ(this->run({"undrain", "F", "dispatch/d2"}),
              exit_status::negative);
    EXPECT_EQ(this->run({"drain", "F", "dispatch/d9"}), exit_status::negative);
    this->run({"drain", "F", "dispatch/d1"});
    EXPECT_EQ(this->run({"undrain", "-", "dispatch/d1"}, this->output),
              exit_status::ok);
    EXPECT_EQ(json::parse(this->output)["version"], 9);

    EXPECT_EQ(this->run({"set-rate", "F", "shop", "7.5", "20"}),
              exit_status::ok);
    EXPECT_EQ(json::parse(this->output)["accounts"][0]["rate_per_second"], 7.5);
    EXPECT_EQ(this->run({"set-rate", "F", "shop", "7", "0"}),
              exit_status::negative);
    EXPECT_EQ(this->run({"set-rate", "F", "nobody", "7"}),
              exit_status::negative);
    EXPECT_EQ(this->run({"withdraw-key", "F", "shop", secret_digest}),
              exit_status::ok);
    EXPECT_EQ(json::parse(this->output)["accounts"][0]["keys"][0]["withdrawn"],
              true);
    EXPECT_EQ(this->run({"withdraw-key", "F", "closed", std::string(64, 'a')}),
              exit_status::negative);
}

// Guards against differences that are reported only because objects have
// another order, and against a missing warning on versions or max_instances.
TEST_F(the_commands, compare_documents_by_name)
{
    EXPECT_EQ(this->run({"diff", "F", "F"}), exit_status::ok);
    this->run({"set-rate", "F", "shop", "9"});
    json changed = json::parse(this->output);
    std::reverse(changed["accounts"].begin(), changed["accounts"].end());
    changed["services"][0]["servers"].erase(1);
    changed["fleet"]["max_instances"] = 3;
    const std::string newer = this->write("newer.json", changed.dump());
    EXPECT_EQ(this->run({"diff", "F", newer}), exit_status::negative);
    const json comparison = this->run_json({"diff", "F", newer});
    ASSERT_EQ(comparison["changes"].size(), 3U) << comparison;
    EXPECT_EQ(comparison["changes"][0]["path"],
              "/accounts/shop/rate_per_second");
    EXPECT_EQ(comparison["changes"][0]["new"], "9.0");
    EXPECT_EQ(comparison["changes"][2]["path"],
              "/services/dispatch/servers/d2");
    EXPECT_EQ(comparison["changes"][2]["change"], "removed");
    EXPECT_EQ(comparison["notes"].size(), 1U);
    EXPECT_EQ(this->run_json({"diff", newer, "F"})["notes"].size(), 2U);
}

// Guards against a folder that an instance would reject as torn, and against
// parts that are written again although they have not changed.
TEST_F(the_commands, split_a_document_into_values_that_can_be_read_again)
{
    const std::string values = this->path("values");
    EXPECT_EQ(this->run({"split", "F", values}), exit_status::ok);
    EXPECT_EQ(this->run({"check", values}), exit_status::ok);
    EXPECT_EQ(this->run({"diff", "F", values}), exit_status::ok);
    EXPECT_EQ(this->run_json({"split", "F", values})["new_parts"], 0);
    for (const auto& entry : std::filesystem::directory_iterator(values))
    {
        if (entry.path().filename() != "index")
        {
            std::ofstream(entry.path(), std::ios::app) << "\n";
        }
    }
    const json report = this->run_json({"check", values});
    EXPECT_EQ(report["valid"], false);
    EXPECT_EQ(report["code"], 604);
}

// Guards against a digest that includes the line end of the key, and against
// output of the key itself.
TEST_F(the_commands, print_the_digest_of_a_key)
{
    EXPECT_EQ(this->run({"digest"}, "secret\n"), exit_status::ok);
    EXPECT_EQ(this->output, "sha256: " + secret_digest + "\n");
}

// Guards against a success status while an instance is not ready or instances
// have different document versions.
TEST_F(the_commands, show_the_status_of_instances)
{
    const std::string host = "127.0.0.1:";
    EXPECT_EQ(this->run({"status", "--from", host + "9100"}), exit_status::ok);
    EXPECT_EQ(this->run({"status", "--from", host + "9103"}),
              exit_status::negative);
    EXPECT_EQ(this->run({"config", "--from", "[::1]:9100"}), exit_status::ok);
    EXPECT_NE(this->output.find("document_version: 7"), std::string::npos);
    EXPECT_EQ(this->run({"instances", "--from", host + "9100", "--from",
                         host + "9101"}),
              exit_status::ok);
    EXPECT_EQ(this->run({"instances", "--from", host + "9100", "--from",
                         host + "9102"}),
              exit_status::negative);
    // Guards against control sequences in a status that reach the terminal.
    EXPECT_EQ(this->run({"servers", "--from", host + "9100"}), exit_status::ok);
    EXPECT_NE(this->output.find("d1?[2J"), std::string::npos);
    EXPECT_EQ(this->output.find('\x1b'), std::string::npos);
}

// Guards against a program that does not exit with the status of its command.
TEST_F(the_commands, set_the_exit_status_of_the_program)
{
    const auto status_of = [this](std::vector<std::string> arguments)
    {
        tests::process program(PROGRAM_DIR "/medlarctl", std::move(arguments),
                               this->path("messages"));
        return program.wait();
    };
    const std::string source = this->path("document.json");
    EXPECT_EQ(status_of({"check", source}), 0);
    EXPECT_EQ(status_of({"explain", source, "--path", "/x"}), 1);
    EXPECT_EQ(status_of({"reload"}), 2);
    EXPECT_EQ(status_of({"status", "--from", "127.0.0.1:1"}), 3);
}

// Guards against a command that docs/COMMANDS.md does not describe.
TEST_F(the_commands, are_documented)
{
    EXPECT_EQ(this->run({"--help"}), exit_status::ok);
    std::ifstream file(SOURCE_DIR "/docs/COMMANDS.md");
    std::stringstream page;
    page << file.rdbuf();
    std::istringstream help(
        this->output.substr(this->output.find("Commands:\n") + 10));
    int commands = 0;
    for (std::string line; std::getline(help, line) && line.starts_with("  ");)
    {
        const std::string name = line.substr(2, line.find(' ', 2) - 2);
        EXPECT_NE(page.str().find("`" + name), std::string::npos) << name;
        ++commands;
    }
    EXPECT_EQ(commands, 19);
}
