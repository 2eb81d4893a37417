#include <gtest/gtest.h>
#include <medlarbarrow/core/recent_leaving_marks.hpp>
#include <medlarbarrow/net/fleet_codec.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

std::vector<core::fleet_message> sample_messages()
{
    core::gossip gossip;
    gossip.incarnation = 5;
    gossip.position = 17;
    gossip.wants_reply = true;
    gossip.members = {{0x0a010005, 77, 250ms, false}, {9, 8, 1s, true}};
    core::gossip news = gossip;
    news.leaving_runs = {{"i-4", 1'700'000'000'000}, {"i-5", 0}};
    core::done_call statement{
        {"specbook", 3}, {7, 9}, core::send_outcome::succeeded, 5ms};
    statement.notice.server = "i-4";
    statement.notice.started = 1'700'000'000'000;
    statement.notice.leaving = true;
    statement.notice.retry_after = 1500ms;
    core::done_call life_sign{
        {"specbook", 3}, {7, 9}, core::send_outcome::succeeded, 5ms};
    life_sign.connection_age = 12s;
    life_sign.age = 150ms;
    core::place_call place;
    place.shard = {"specbook", 3};
    place.request.grant = {7, 9};
    place.request.data_centre = "suva";
    place.request.work_kind = 3;
    place.request.repeatable = true;
    place.request.rank = 2;
    place.request.time_to_objective = 800ms;
    place.request.time_to_deadline = 2500ms;
    place.request.excluded_servers = {"i-1", "i-2"};
    place.request.content_digest = 0xfeedbeefcafef00d;
    core::place_call upload = place;
    upload.request.body_arriving = true;
    return {
        gossip,
        news,
        statement,
        life_sign,
        upload,
        core::subscribe{5},
        core::source_update{7, 20ms, 6, "changes"},
        core::admit_call{3, "loft"},
        core::admit_reply{3, true, {true, 20ms}},
        place,
        core::place_reply{9, core::placed{"i-3", 200ms, 500ms}, 3, 0.5},
        core::place_reply{9, core::queued{}, 3, 2.5},
        core::place_reply{
            9, core::place_refused{core::result_code::queue_full, 100ms}, 3,
            1.25},
        core::done_call{{"specbook", 3}, {7, 9}, core::send_outcome::shed, 5ms},
        core::done_reply{9, 3},
        core::stream_call{{"specbook", 3}, {7, 9}, true},
        core::stream_reply{9},
        core::shard_crash_report{{"specbook", 3},
                                 {0xfeedbeefcafef00d, "i-2", 250ms}},
        core::crash_suspects{{{0xfeedbeefcafef00d, {{"i-2", 3s}, {"i-3", 0s}}},
                              {5, {{"i-4", 59s}}}}}};
}

} // namespace

// Guards against a field that is not encoded, or is decoded into another field.
TEST(fleet_messages, are_the_same_after_encoding_and_decoding)
{
    for (const core::fleet_message& message : sample_messages())
    {
        const auto bytes = net::encode_message(message);
        const auto decoded = net::decode_message(bytes);
        ASSERT_TRUE(decoded) << message.index();
        EXPECT_EQ(decoded->index(), message.index());
        EXPECT_EQ(net::encode_message(*decoded), bytes) << message.index();
    }
}

// Guards against gossip with the maximum of 64 member reports that exceeds the
// size of a datagram.
TEST(fleet_messages, fit_a_datagram)
{
    core::gossip message;
    message.incarnation = 1'700'000'000'000;
    for (std::uint32_t index = 0; index < 64; ++index)
    {
        message.members.push_back(
            {0xfffffff0U + index % 16, 1'700'000'000'000, 7999ms, false});
    }
    core::recent_leaving_marks news;
    for (std::uint32_t index = 0; index < 100; ++index)
    {
        news.add({"i-" + std::to_string(index), 1'700'000'000'000}, {});
    }
    message.leaving_runs = news.take({});
    EXPECT_GE(message.leaving_runs.size(), 8U);
    EXPECT_LE(net::encode_message(message).size(), net::max_datagram_bytes);
}

// Guards against a next owner that knows other crashes than the one before it.
TEST(fleet_messages, carry_what_is_known_of_crashes)
{
    for (const core::fleet_message& message : sample_messages())
    {
        const auto decoded =
            net::decode_message(net::encode_message(message)).value();
        if (const auto* sent = std::get_if<core::done_call>(&message))
        {
            const auto& received = std::get<core::done_call>(decoded);
            EXPECT_EQ(received.connection_age, sent->connection_age);
            EXPECT_EQ(received.age, sent->age);
        }
        if (const auto* sent = std::get_if<core::shard_crash_report>(&message))
        {
            const auto& received = std::get<core::shard_crash_report>(decoded);
            EXPECT_EQ(received.crash.content_digest,
                      sent->crash.content_digest);
            EXPECT_EQ(received.crash.server, sent->crash.server);
            EXPECT_EQ(received.crash.age, sent->crash.age);
        }
        if (const auto* sent = std::get_if<core::crash_suspects>(&message))
        {
            const auto& received = std::get<core::crash_suspects>(decoded);
            ASSERT_EQ(received.suspects.size(), sent->suspects.size());
            for (std::size_t index = 0; index < received.suspects.size();
                 ++index)
            {
                const core::crash_suspect& suspect = received.suspects[index];
                const core::crash_suspect& known = sent->suspects[index];
                EXPECT_EQ(suspect.content_digest, known.content_digest);
                ASSERT_EQ(suspect.crashes.size(), known.crashes.size());
                for (std::size_t crash = 0; crash < known.crashes.size();
                     ++crash)
                {
                    EXPECT_EQ(suspect.crashes[crash].server,
                              known.crashes[crash].server);
                    EXPECT_EQ(suspect.crashes[crash].age,
                              known.crashes[crash].age);
                }
            }
        }
    }
}

// Guards against suspects that exceed the size of a datagram.
TEST(fleet_messages, fit_a_datagram_with_all_suspects_that_it_may_hold)
{
    core::crash_records records;
    for (std::uint64_t digest = 1; digest <= 300; ++digest)
    {
        for (const char* server : {"i-7f3a91c2", "i-7f3a91c3", "i-7f3a91c4"})
        {
            records.record({~digest, server, {}}, core::time_point(1000s));
        }
    }
    const core::crash_suspects message{
        records.suspects(2, core::time_point(1290s))};
    EXPECT_GE(message.suspects.size(), 10U);
    EXPECT_LE(net::encode_message(message).size(), net::max_datagram_bytes);
}

// Guards against a field that the round trip loses on both ways.
TEST(fleet_messages, carry_what_a_server_has_stated)
{
    for (const core::fleet_message& message : sample_messages())
    {
        const auto decoded =
            net::decode_message(net::encode_message(message)).value();
        if (const auto* sent = std::get_if<core::done_call>(&message))
        {
            const auto& received = std::get<core::done_call>(decoded).notice;
            EXPECT_EQ(received.server, sent->notice.server);
            EXPECT_EQ(received.started, sent->notice.started);
            EXPECT_EQ(received.leaving, sent->notice.leaving);
            EXPECT_EQ(received.retry_after, sent->notice.retry_after);
        }
        if (const auto* sent = std::get_if<core::gossip>(&message))
        {
            const auto& received = std::get<core::gossip>(decoded).leaving_runs;
            ASSERT_EQ(received.size(), sent->leaving_runs.size());
            for (std::size_t index = 0; index < received.size(); ++index)
            {
                EXPECT_EQ(received[index].server,
                          sent->leaving_runs[index].server);
                EXPECT_EQ(received[index].started,
                          sent->leaving_runs[index].started);
            }
        }
    }
}

// Messages as the release before the servers' statements sends them.
namespace earlier_release
{

const nlohmann::json done_call{6, "specbook", 7, 9, 0, 5, 3};
const nlohmann::json gossip{1,     5,     17,
                            false, false, {167837701, 77, 250, false}};
const nlohmann::json place_call{
    4,    "specbook", 7,     9,   "suva", 3,
    true, 2,          false, 800, 2500,   nlohmann::json::array({"i-1"}),
    11,   3};

} // namespace earlier_release

// Guards against an instance of this release that does not understand one of
// the release before it, which runs beside it during a replacement.
TEST(messages_of_the_earlier_release, are_understood)
{
    const auto done =
        net::decode_message(nlohmann::json::to_cbor(earlier_release::done_call))
            .value();
    EXPECT_EQ(std::get<core::done_call>(done).latency, 5ms);
    EXPECT_TRUE(std::get<core::done_call>(done).notice.is_empty());
    const auto gossip =
        net::decode_message(nlohmann::json::to_cbor(earlier_release::gossip))
            .value();
    EXPECT_EQ(std::get<core::gossip>(gossip).members.size(), 1U);
    EXPECT_TRUE(std::get<core::gossip>(gossip).leaving_runs.empty());
}

// Guards against an instance of the earlier release that does not understand
// one of this release: it reads elements by their position and ignores further
// ones at the end.
TEST(messages_to_the_earlier_release, begin_with_all_that_it_reads)
{
    core::done_call done{
        {"specbook", 3}, {7, 9}, core::send_outcome::succeeded, 5ms};
    EXPECT_EQ(nlohmann::json::from_cbor(net::encode_message(done)),
              earlier_release::done_call);
    done.notice = {"i-4", 5, true};
    core::gossip gossip;
    gossip.incarnation = 5;
    gossip.position = 17;
    gossip.members = {{0x0a010005, 77, 250ms, false}};
    EXPECT_EQ(nlohmann::json::from_cbor(net::encode_message(gossip)),
              earlier_release::gossip);
    gossip.leaving_runs = {{"i-4", 5}};
    const auto starts_with =
        [](const core::fleet_message& message, const nlohmann::json& earlier)
    {
        auto sent = nlohmann::json::from_cbor(net::encode_message(message));
        ASSERT_GT(sent.size(), earlier.size());
        sent.erase(sent.begin() + static_cast<std::ptrdiff_t>(earlier.size()),
                   sent.end());
        EXPECT_EQ(sent, earlier);
    };
    starts_with(done, earlier_release::done_call);
    starts_with(gossip, earlier_release::gossip);
}

// Guards against place calls that the earlier release does not understand, or
// that change although the whole body of the request is here.
TEST(place_calls, state_a_body_that_is_arriving)
{
    auto decoded = net::decode_message(
                       nlohmann::json::to_cbor(earlier_release::place_call))
                       .value();
    auto& call = std::get<core::place_call>(decoded);
    EXPECT_FALSE(call.request.body_arriving);
    EXPECT_EQ(nlohmann::json::from_cbor(net::encode_message(call)),
              earlier_release::place_call);
    call.request.body_arriving = true;
    nlohmann::json expected = earlier_release::place_call;
    expected.push_back(true);
    EXPECT_EQ(nlohmann::json::from_cbor(net::encode_message(call)), expected);
    const auto received =
        net::decode_message(nlohmann::json::to_cbor(expected)).value();
    EXPECT_TRUE(std::get<core::place_call>(received).request.body_arriving);
    expected.back() = "yes";
    EXPECT_FALSE(net::decode_message(nlohmann::json::to_cbor(expected)));
}

// Guards against values of a wrong type or range in the further elements that
// are converted into a mark, or end the process.
TEST(messages_with_bad_statements, are_refused)
{
    const auto is_refused =
        [](nlohmann::json message, std::vector<nlohmann::json> further)
    {
        for (nlohmann::json& element : further)
        {
            message.push_back(std::move(element));
        }
        return !net::decode_message(nlohmann::json::to_cbor(message));
    };
    for (const nlohmann::json& started :
         {nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json("5"),
          nlohmann::json(nullptr)})
    {
        EXPECT_TRUE(
            is_refused(earlier_release::done_call, {"i-4", started, true}));
        EXPECT_TRUE(is_refused(earlier_release::gossip,
                               {nlohmann::json::array({"i-4", started})}));
    }
    for (const nlohmann::json& hold :
         {nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json("5")})
    {
        EXPECT_TRUE(
            is_refused(earlier_release::done_call, {"i-4", 5, true, hold}));
    }
    EXPECT_TRUE(is_refused(earlier_release::done_call, {7, 5, true}));
    EXPECT_TRUE(is_refused(earlier_release::done_call, {"i-4", 5, "yes"}));
    EXPECT_TRUE(
        is_refused(earlier_release::gossip, {nlohmann::json::array({7, 5})}));
}

// Guards against a time of a peer that overflows or keeps a server without work
// for long, and against one that ends early because it was rounded down.
TEST(messages_with_a_hold, state_it_within_the_bounds)
{
    nlohmann::json message = earlier_release::done_call;
    for (const nlohmann::json& element :
         {nlohmann::json("i-4"), nlohmann::json(5), nlohmann::json(false),
          nlohmann::json(std::numeric_limits<std::uint64_t>::max())})
    {
        message.push_back(element);
    }
    const auto decoded =
        net::decode_message(nlohmann::json::to_cbor(message)).value();
    EXPECT_EQ(std::get<core::done_call>(decoded).notice.retry_after,
              core::max_hold);
    core::done_call done{{"specbook", 3}, {7, 9}, core::send_outcome::shed, {}};
    done.notice = {"i-4", 5, false, 1500001us};
    const auto rounded = net::decode_message(net::encode_message(done)).value();
    EXPECT_EQ(std::get<core::done_call>(rounded).notice.retry_after,
              core::duration(1501ms));
}

// Guards against a crash on a damaged datagram, and against any other error
// code than peer_message_invalid.
RC_GTEST_PROP(damaged_datagrams, are_refused_or_decoded_without_a_crash, ())
{
    const auto messages = sample_messages();
    const auto message_index =
        *rc::gen::inRange<std::size_t>(0, messages.size());
    auto bytes = net::encode_message(messages[message_index]);
    const auto byte_changes = *rc::gen::container<std::vector<std::uint16_t>>(
        4, rc::gen::arbitrary<std::uint16_t>());
    for (const std::uint16_t byte_change : byte_changes)
    {
        bytes[byte_change % bytes.size()] ^=
            static_cast<std::uint8_t>(byte_change >> 8U);
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    const auto decoded = net::decode_message(bytes);
    RC_ASSERT(decoded.has_value() ||
              decoded.error() == core::make_error_code(
                                     core::result_code::peer_message_invalid));
}

// Guards against a datagram of a few bytes that ends the process: the parser
// throws for an array or object that claims more elements than can exist.
TEST(damaged_datagrams, may_claim_any_number_of_elements)
{
    for (const std::uint8_t kind : {0x9b, 0xbb})
    {
        for (const std::uint8_t last : {0xff, 0xfe, 0x00})
        {
            const std::vector<std::uint8_t> claim{kind, 0xff, 0xff, 0xff, 0xff,
                                                  0xff, 0xff, 0xff, last};
            EXPECT_FALSE(net::decode_message(claim));
            std::vector<std::uint8_t> nested{0x81};
            nested.insert(nested.end(), claim.begin(), claim.end());
            EXPECT_FALSE(net::decode_message(nested));
        }
    }
    const std::vector<std::uint8_t> deep(net::max_datagram_bytes, 0x81);
    EXPECT_FALSE(net::decode_message(deep));
}
