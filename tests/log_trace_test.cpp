#include <gtest/gtest.h>
#include <medlarbarrow/config/log_trace.hpp>

using namespace medlarbarrow;

namespace
{

config::log_line line(const std::string& file,
                      const std::string& second,
                      const std::string& fields)
{
    return config::parse_log_line(file, "time=2026-12-04T13:09:" + second +
                                            "Z level=info " + fields);
}

} // namespace

// Guards against values that are split at a space, quote or equals sign in
// quotes.
TEST(a_log_line, is_parsed_into_its_fields)
{
    const auto parsed = config::parse_log_line(
        "a.log", R"(host-1 time=t event=x reason="no \"way\" a=b" last=7)");
    EXPECT_EQ(parsed.at("time"), "t");
    EXPECT_EQ(parsed.at("reason"), "no \"way\" a=b");
    EXPECT_EQ(parsed.at("last"), "7");
    EXPECT_EQ(parsed.at("missing"), "");
}

/// Given the logs of an entry instance ("entry"), of the owner of its services
/// ("home") and of another instance.
class logs_of_a_fleet : public testing::Test
{
protected:
    std::vector<std::string> trace(const std::string& id)
    {
        std::vector<std::string> summary;
        const auto request = config::trace_request(id, this->lines);
        for (const auto& context_line : request.context_lines)
        {
            summary.push_back(context_line.file + " " +
                              std::string(context_line.at("event")));
        }
        for (const auto& end_line : request.end_lines)
        {
            summary.push_back(std::string(end_line.at("outcome")));
        }
        return summary;
    }

    std::vector<config::log_line> lines{
        line("home",
             "01.000",
             "event=server_suspected service=desk server=i-8 reason=old"),
        line("entry", "20.000", "event=document_in_force version=14 before=12"),
        line("other", "20.000", "event=document_in_force version=14 before=12"),
        line("entry",
             "20.100",
             "event=request_ended id=b01c service=\"\" sends=\"\" status=401 "
             "outcome=key_unknown"),
        line("home",
             "21.500",
             "event=server_suspected service=desk server=i-9 "
             "reason=\"answer overdue\""),
        line("home",
             "21.600",
             "event=server_suspected service=specs server=i-2 reason=x"),
        line("entry",
             "22.000",
             "event=request_ended id=77d0 service=desk sends=i-9:lost/2497 "
             "status=504 outcome=server_timeout"),
        line("home",
             "22.500",
             "event=server_suspected service=desk server=i-7 reason=later"),
        line("entry",
             "22.600",
             "event=request_ended id=9c41 service=desk sends=\"\" status=503 "
             "outcome=deadline_unreachable")};
};

// Guards against a trace of a refused request that does not show the cause: the
// suspected servers of its service.
TEST_F(logs_of_a_fleet, explain_a_refused_request)
{
    EXPECT_EQ(this->trace("9c41"),
              (std::vector<std::string>{
                  "entry document_in_force", "home server_suspected",
                  "home server_suspected", "deadline_unreachable"}));
}

// Guards against a trace of a request with unknown outcome that does not show
// the suspicion of the server it was sent to.
TEST_F(logs_of_a_fleet, explain_an_unknown_outcome_at_a_gray_server)
{
    EXPECT_EQ(
        this->trace("77d0"),
        (std::vector<std::string>{"entry document_in_force",
                                  "home server_suspected", "server_timeout"}));
}

// Guards against a trace of a refused key that does not show the change of the
// document.
TEST_F(logs_of_a_fleet, explain_a_request_refused_after_a_document_change)
{
    EXPECT_EQ(
        this->trace("b01c"),
        (std::vector<std::string>{"entry document_in_force", "key_unknown"}));
}

// Guards against a trace of a failed request that leaves out that its service
// had servers without work.
TEST_F(logs_of_a_fleet, explain_a_request_of_a_service_with_idle_servers)
{
    this->lines.push_back(
        line("home", "22.400",
             "event=servers_without_work service=desk shard=0 alone=false"));
    this->lines.push_back(
        line("home", "22.400",
             "event=servers_without_work service=specs shard=0 alone=false"));
    EXPECT_EQ(this->trace("9c41"),
              (std::vector<std::string>{
                  "entry document_in_force", "home server_suspected",
                  "home servers_without_work", "home server_suspected",
                  "deadline_unreachable"}));
}

// Guards against a trace for an id that is not in the logs.
TEST_F(logs_of_a_fleet, give_no_trace_of_an_unknown_request)
{
    EXPECT_TRUE(this->trace("0000").empty());
    EXPECT_TRUE(this->trace("").empty());
}
