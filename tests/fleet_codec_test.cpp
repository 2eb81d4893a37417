#include <gtest/gtest.h>
#include <medlarbarrow/net/fleet_codec.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

std::vector<core::fleet_message> one_of_each()
{
    core::gossip gossip;
    gossip.incarnation = 5;
    gossip.revision = 17;
    gossip.wants_reply = true;
    gossip.members = {{0x0a010005, 77, 250ms, false}, {9, 8, 1s, true}};
    core::place_call place;
    place.service = "specbook";
    place.request.grant = {7, 9};
    place.request.data_centre = "suva";
    place.request.work_kind = 3;
    place.request.repeatable = true;
    place.request.rank = 2;
    place.request.time_to_objective = 800ms;
    place.request.time_to_deadline = 2500ms;
    place.request.excluded_servers = {"i-1", "i-2"};
    place.request.content_digest = 0xfeedbeefcafef00d;
    return {gossip,
            core::subscribe{5},
            core::source_update{7, 20ms, 6, "changes"},
            core::admit_call{3, "loft"},
            core::admit_reply{3, true, {true, 20ms}},
            place,
            core::place_reply{9, core::placed{"i-3", 200ms, 500ms}},
            core::place_reply{9, core::queued{}},
            core::place_reply{
                9, core::place_refused{core::result_code::queue_full, 100ms}},
            core::done_call{"specbook", {7, 9}, core::send_outcome::shed, 5ms},
            core::done_reply{9}};
}

} // namespace

// Guards against a member that is lost or misplaced on the way.
TEST(fleet_messages, are_the_same_after_encoding_and_decoding)
{
    for (const core::fleet_message& message : one_of_each())
    {
        const auto bytes = net::encode_message(message);
        const auto decoded = net::decode_message(bytes);
        ASSERT_TRUE(decoded) << message.index();
        EXPECT_EQ(decoded->index(), message.index());
        EXPECT_EQ(net::encode_message(*decoded), bytes) << message.index();
    }
}

// Guards against a full sample of members that exceeds a datagram.
TEST(fleet_messages, fit_a_datagram)
{
    core::gossip message;
    message.incarnation = 1'700'000'000'000;
    for (std::uint32_t index = 0; index < 64; ++index)
    {
        message.members.push_back(
            {0xfffffff0U + index % 16, 1'700'000'000'000, 7999ms, false});
    }
    EXPECT_LE(net::encode_message(message).size(), net::greatest_datagram);
}

// Guards against a crash or a wrong reading of damaged datagrams.
RC_GTEST_PROP(damaged_datagrams, are_refused_or_read_without_fault, ())
{
    const auto all = one_of_each();
    const auto which = *rc::gen::inRange<std::size_t>(0, all.size());
    auto bytes = net::encode_message(all[which]);
    const auto changes = *rc::gen::container<std::vector<std::uint16_t>>(
        4, rc::gen::arbitrary<std::uint16_t>());
    for (const std::uint16_t change : changes)
    {
        bytes[change % bytes.size()] ^= static_cast<std::uint8_t>(change >> 8U);
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    const auto decoded = net::decode_message(bytes);
    RC_ASSERT(decoded.has_value() ||
              decoded.error() == core::make_error_code(
                                     core::result_code::peer_message_invalid));
}
