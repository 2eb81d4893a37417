#include <gtest/gtest.h>
#include <medlarbarrow/net/fleet_codec.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

std::vector<core::fleet_message> sample_messages()
{
    core::gossip gossip;
    gossip.incarnation = 5;
    gossip.revision = 17;
    gossip.wants_reply = true;
    gossip.members = {{0x0a010005, 77, 250ms, false}, {9, 8, 1s, true}};
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
    return {
        gossip,
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
        core::shard_crash_report{{"specbook", 3}, {0xfeedbeefcafef00d, "i-2"}}};
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
    EXPECT_LE(net::encode_message(message).size(), net::max_datagram_bytes);
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
