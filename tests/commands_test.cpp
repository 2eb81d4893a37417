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

// Two accounts, an order route, an open route and two servers.
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

/// Given a folder with a valid document, and instances that answer.
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

    // "F" stands for the document.
    exit_status run(std::vector<std::string> words,
                    const std::string& typed = "")
    {
        for (std::string& word : words)
        {
            word = word == "F" ? this->path("document.json") : word;
        }
        std::istringstream input(typed);
        std::ostringstream output;
        std::ostringstream messages;
        const auto status =
            [this](const config::endpoint& from,
                   std::chrono::milliseconds) -> core::result<std::string>
        {
            const auto found = this->instances.find(from.port);
            if (found == this->instances.end())
            {
                return std::make_error_code(std::errc::connection_refused);
            }
            return found->second;
        };
        const exit_status ended =
            config::run_command(words, {input, output, messages, status});
        this->output = output.str();
        this->messages = messages.str();
        return ended;
    }

    json run_json(std::vector<std::string> words)
    {
        words.emplace_back("--json");
        this->run(words);
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

// Guards against scripts that take a wrong call for a negative answer.
TEST_F(the_commands, end_with_2_after_wrong_usage)
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
    for (const auto& words : cases)
    {
        EXPECT_EQ(this->run(words), exit_status::usage) << json(words);
        EXPECT_FALSE(this->messages.empty());
        EXPECT_TRUE(this->output.empty());
    }
}

TEST_F(the_commands, end_with_3_when_a_file_or_the_network_fails)
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

TEST_F(the_commands, check_a_document_and_name_its_faults)
{
    EXPECT_EQ(this->run({"check", "F"}), exit_status::ok);
    EXPECT_EQ(this->run({"check", "-"}, document_text), exit_status::ok);
    const std::string broken = this->write("broken.json", R"({"version":0})");
    EXPECT_EQ(this->run({"check", broken}), exit_status::negative);
    const json found = this->run_json({"check", broken});
    EXPECT_EQ(found["valid"], false);
    EXPECT_EQ(found["problems"][0]["path"], "/version");
    EXPECT_EQ(this->run({"routes", broken}), exit_status::negative);
    EXPECT_EQ(this->run({"check", "--settings", "F"}), exit_status::negative);
}

// Guards against an explanation that differs from what an instance does.
TEST_F(the_commands, explain_why_a_request_is_refused)
{
    const auto code = [this](std::vector<std::string> words)
    {
        words.insert(words.begin(), {"explain", "F"});
        return this->run_json(words).value("code_name", "accepted");
    };
    EXPECT_EQ(code({"--path", "/x"}), "no_route");
    EXPECT_EQ(code({"--path", "/drums"}), "no_route");
    const std::vector<std::string> post{"--path", "/drums?x=1", "--method",
                                        "POST"};
    const auto post_with =
        [&](const std::string& option, const std::string& value)
    {
        std::vector<std::string> words = post;
        words.insert(words.end(), {option, value});
        return code(words);
    };
    EXPECT_EQ(code(post), "key_missing");
    EXPECT_EQ(post_with("--key-digest", std::string(64, 'b')), "key_unknown");
    EXPECT_EQ(post_with("--key-digest", std::string(64, 'a')), "key_withdrawn");
    EXPECT_EQ(post_with("--account", "closed"), "account_not_allowed");
    EXPECT_EQ(post_with("--key-digest", secret_digest), "accepted");
    EXPECT_EQ(this->run({"explain", "F", "--path", "/x"}),
              exit_status::negative);
    const json open = this->run_json({"explain", "F", "--path", "/guides/1"});
    EXPECT_EQ(open["route"], "guides");
    EXPECT_EQ(open["servers"][0]["candidate"], true);
    EXPECT_EQ(open["servers"][1]["candidate"], false);
}

// Guards against a change that skips a version or the checks.
TEST_F(the_commands, print_the_next_version_of_what_they_change)
{
    const auto order_after =
        [this](const std::string& verb, const std::string& server)
    {
        EXPECT_EQ(this->run({verb, "F", "dispatch/" + server}),
                  exit_status::ok);
        const json next = json::parse(this->output);
        EXPECT_EQ(next["version"], 8);
        const int index = server == "d1" ? 0 : 1;
        return next["services"][0]["servers"][index].value("order", "none");
    };
    EXPECT_EQ(order_after("drain", "d1"), "drain");
    EXPECT_NE(this->messages.find("below its healthy_floor"),
              std::string::npos);
    EXPECT_EQ(order_after("eject", "d1"), "eject");
    EXPECT_EQ(order_after("readmit", "d2"), "readmit");
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

TEST_F(the_commands, compare_documents_by_name)
{
    EXPECT_EQ(this->run({"diff", "F", "F"}), exit_status::ok);
    this->run({"set-rate", "F", "shop", "9"});
    json next = json::parse(this->output);
    std::reverse(next["accounts"].begin(), next["accounts"].end());
    next["services"][0]["servers"].erase(1);
    next["fleet"]["max_instances"] = 3;
    const std::string newer = this->write("newer.json", next.dump());
    EXPECT_EQ(this->run({"diff", "F", newer}), exit_status::negative);
    const json found = this->run_json({"diff", "F", newer});
    ASSERT_EQ(found["changes"].size(), 3U) << found;
    EXPECT_EQ(found["changes"][0]["path"], "/accounts/shop/rate_per_second");
    EXPECT_EQ(found["changes"][0]["new"], "9.0");
    EXPECT_EQ(found["changes"][2]["path"], "/services/dispatch/servers/d2");
    EXPECT_EQ(found["changes"][2]["change"], "removed");
    EXPECT_EQ(found["notes"].size(), 1U);
    EXPECT_EQ(this->run_json({"diff", newer, "F"})["notes"].size(), 2U);
}

// Guards against a folder that an instance would refuse as torn.
TEST_F(the_commands, split_a_document_into_values_that_can_be_read_again)
{
    const std::string values = this->path("values");
    EXPECT_EQ(this->run({"split", "F", values}), exit_status::ok);
    EXPECT_EQ(this->run({"check", values}), exit_status::ok);
    EXPECT_EQ(this->run({"diff", "F", values}), exit_status::ok);
    EXPECT_EQ(this->run_json({"split", "F", values})["new_parts"], 0);
    for (const auto& item : std::filesystem::directory_iterator(values))
    {
        if (item.path().filename() != "index")
        {
            std::ofstream(item.path(), std::ios::app) << "\n";
        }
    }
    const json found = this->run_json({"check", values});
    EXPECT_EQ(found["valid"], false);
    EXPECT_EQ(found["code"], 604);
}

// Guards against a digest of the line instead of the key, and against the key
// being printed.
TEST_F(the_commands, print_the_digest_of_a_key)
{
    EXPECT_EQ(this->run({"digest"}, "secret\n"), exit_status::ok);
    EXPECT_EQ(this->output, "sha256: " + secret_digest + "\n");
}

TEST_F(the_commands, show_what_instances_answer)
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
    // Guards against control sequences that a status brings to a terminal.
    EXPECT_EQ(this->run({"servers", "--from", host + "9100"}), exit_status::ok);
    EXPECT_NE(this->output.find("d1?[2J"), std::string::npos);
    EXPECT_EQ(this->output.find('\x1b'), std::string::npos);
}

// Guards against a program that does not pass on the exit status.
TEST_F(the_commands, give_the_program_its_exit_status)
{
    const auto status_of = [this](std::vector<std::string> words)
    {
        tests::process program(PROGRAM_DIR "/medlarctl", std::move(words),
                               this->path("messages"));
        return program.wait();
    };
    const std::string source = this->path("document.json");
    EXPECT_EQ(status_of({"check", source}), 0);
    EXPECT_EQ(status_of({"explain", source, "--path", "/x"}), 1);
    EXPECT_EQ(status_of({"reload"}), 2);
    EXPECT_EQ(status_of({"status", "--from", "127.0.0.1:1"}), 3);
}

// Guards against a command that is missing from the page.
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
