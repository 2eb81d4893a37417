#include <cmath>
#include <gtest/gtest.h>
#include <limits>
#include <medlarbarrow/net/codec.hpp>
#include <medlarbarrow/net/peer_auth.hpp>
#include <rapidcheck.h>

using namespace medlarbarrow;
using core::result_code;

namespace
{

const core::instance_id sender{"entry-07", 1'760'000'000'123};

/// One message of each type, in the order of core::message.
std::vector<core::message> sample_messages()
{
    using namespace std::chrono_literals;
    const core::digest identity{~0ULL, 7};
    const core::stored_answer answer{201, "application/json", "{\"net\":1}"};
    const core::wall_time created{1'760'000'000'000ms};
    return {
        core::delegation_request{~0ULL, ~0ULL},
        core::delegation{3, 5, 6s, {{{"entry-03", 7}, 4}}},
        core::delegation_release{9, 11},
        core::token_request{4, {{"trawl-1", 0.5, 12.25}, {"reef", 0.0, 1e9}}},
        core::token_grant{4, 2s, {{"trawl-1", 3.75}}},
        core::order_claim{8, identity, created, 5000ms},
        core::order_verdict{8, identity, core::order_verdict_kind::answered,
                            answer},
        core::order_result{identity, core::order_outcome::not_sent, {}, 8},
        core::order_handover{
            63,
            2,
            true,
            created,
            {{identity, created, false, answer, {"entry-03", 7}, 8, 250ms}}},
        core::observation_report{1, "specbook", {{"s-1", 9, 1, 0, 1400us}}},
        core::service_verdict{
            1,
            "specbook",
            true,
            {{"s-1", core::server_state::path_cut, 9s, "entry-08"}}},
        core::crash_report{2, identity, "logbook", "s-2"},
        core::crash_verdict{2, identity, true, 60s},
        core::hello{"haiphong-a", 450, 12, true},
        core::document_pull{449},
        core::document_part{450, 0, 3, "{\"version\":450}"},
        core::list_copy{12, "list"},
    };
}

std::vector<std::uint8_t> bytes_of(const core::message& source)
{
    return net::encode(sender, source).value();
}

std::error_code decode_error(const std::vector<std::uint8_t>& bytes)
{
    const auto decoded = net::decode(bytes);
    return decoded ? std::error_code() : decoded.error();
}

bool is_message_or_defined_error(const std::vector<std::uint8_t>& bytes)
{
    const std::error_code error = decode_error(bytes);
    return !error || error == result_code::peer_newer_format ||
           error == result_code::peer_message_invalid ||
           error == result_code::peer_message_too_large;
}

} // namespace

// Guards against a message type that is missing from the codec, and a field
// that is lost or read in another order than it was written.
TEST(codec, every_message_type_is_unchanged_by_encoding_and_decoding)
{
    const auto messages = sample_messages();
    ASSERT_EQ(messages.size(), std::variant_size_v<core::message>);
    for (std::size_t index = 0; index < messages.size(); ++index)
    {
        ASSERT_EQ(messages.at(index).index(), index);
        const auto bytes = bytes_of(messages.at(index));
        const auto decoded = net::decode(bytes);
        ASSERT_TRUE(decoded) << net::type_name(index);
        EXPECT_EQ(decoded->sender, sender);
        EXPECT_EQ(bytes, bytes_of(decoded->message)) << net::type_name(index);
    }
    const auto decoded = net::decode(bytes_of(messages.at(10)));
    const auto& verdict = std::get<core::service_verdict>(decoded->message);
    EXPECT_TRUE(verdict.reporter_cut_off);
    EXPECT_EQ(verdict.servers.at(0).via, "entry-08");
    EXPECT_EQ(verdict.servers.at(0).lease, std::chrono::seconds(9));
}

// Guards against damaged or hostile bytes that crash the decoder or cause an
// error that is not in its documentation.
TEST(codec, arbitrary_bytes_give_a_message_or_a_defined_error)
{
    const bool random =
        rc::check("random bytes",
                  [](const std::vector<std::uint8_t>& bytes)
                  {
                      RC_ASSERT(is_message_or_defined_error(bytes));
                  });
    EXPECT_TRUE(random);
    const bool damaged = rc::check(
        "valid messages with changed bytes",
        []
        {
            auto bytes = bytes_of(*rc::gen::elementOf(sample_messages()));
            const auto changes = *rc::gen::inRange(1, 4);
            for (int change = 0; change < changes; ++change)
            {
                const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
                bytes[at] = *rc::gen::arbitrary<std::uint8_t>();
            }
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            RC_ASSERT(is_message_or_defined_error(bytes));
        });
    EXPECT_TRUE(damaged);
}

// Guards against stack exhaustion by nested items in the recursive CBOR parser.
TEST(codec, deep_nesting_is_refused)
{
    for (const std::uint8_t opening : {0x81, 0x9F, 0x7F, 0x5F, 0xBF, 0xC1})
    {
        std::vector<std::uint8_t> bytes{0x82, 0x01};
        bytes.resize(net::max_message_bytes, opening);
        EXPECT_EQ(decode_error(bytes), result_code::peer_message_invalid);
    }
}

// Guards against a message that is read although a newer release has changed
// its meaning.
TEST(codec, a_newer_format_is_refused_without_parsing_the_rest)
{
    auto bytes = bytes_of(core::document_pull{1});
    ASSERT_EQ(bytes.at(1), core::message_format);
    bytes.at(1) = core::message_format + 1;
    EXPECT_EQ(decode_error(bytes), result_code::peer_newer_format);
    bytes.resize(2);
    bytes.push_back(0xBF);
    EXPECT_EQ(decode_error(bytes), result_code::peer_newer_format);
    bytes.at(1) = 0;
    EXPECT_EQ(decode_error(bytes), result_code::peer_message_invalid);
}

// Guards against amounts that would create tokens or make sums meaningless:
// negative, infinite, NaN or too large.
TEST(codec, amounts_that_are_negative_or_not_finite_are_refused)
{
    for (const double amount : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                                std::numeric_limits<double>::infinity(), 1e13})
    {
        const core::token_grant grant{1, {}, {{"a", amount}}};
        const auto encoded = net::encode(sender, grant);
        ASSERT_FALSE(encoded);
        EXPECT_EQ(encoded.error(), result_code::peer_message_invalid);
    }
    // 1.5 is encoded as a 32-bit float, the last item of the message.
    auto bytes = bytes_of(core::token_grant{1, {}, {{"a", 1.5}}});
    ASSERT_EQ(bytes.at(bytes.size() - 5), 0xFA);
    auto with_float = [&bytes](std::uint8_t first, std::uint8_t second)
    {
        bytes.at(bytes.size() - 4) = first;
        bytes.at(bytes.size() - 3) = second;
        return decode_error(bytes);
    };
    EXPECT_EQ(with_float(0x3F, 0xC0), std::error_code());
    EXPECT_EQ(with_float(0xBF, 0xC0), result_code::peer_message_invalid);
    EXPECT_EQ(with_float(0x7F, 0xC0), result_code::peer_message_invalid);
    EXPECT_EQ(with_float(0x7F, 0x80), result_code::peer_message_invalid);
}

// Guards against unbounded lists, strings and numbers from a faulty peer.
TEST(codec, values_outside_their_limits_are_refused)
{
    const auto error_of = [](const core::message& source)
    {
        const auto encoded = net::encode(sender, source);
        return encoded ? std::error_code() : encoded.error();
    };
    EXPECT_EQ(error_of(core::document_part{1, 3, 3, ""}),
              result_code::peer_message_invalid);
    EXPECT_EQ(error_of(core::list_copy{1, std::string(1'000'001, 'x')}),
              result_code::peer_message_invalid);
    EXPECT_EQ(error_of(core::hello{std::string(256, 'x'), 1, 1, false}),
              result_code::peer_message_invalid);
    EXPECT_EQ(error_of(core::hello{"two words", 1, 1, false}),
              result_code::peer_message_invalid);
    EXPECT_EQ(error_of(core::delegation{1, 1, std::chrono::hours(-1), {}}),
              result_code::peer_message_invalid);
    core::token_request many;
    many.demands.resize(5000, {"a", 1.0, 1.0});
    EXPECT_EQ(error_of(many), result_code::peer_message_invalid);
    core::order_handover bodies;
    bodies.records.resize(100, {{},
                                {},
                                false,
                                core::stored_answer{200, "", {}},
                                {"entry-03", 7},
                                8,
                                {}});
    for (auto& record : bodies.records)
    {
        record.answer->body.assign(16'384, 'x');
    }
    EXPECT_EQ(error_of(bodies), result_code::peer_message_too_large);
    EXPECT_EQ(decode_error(
                  std::vector<std::uint8_t>(net::max_message_bytes + 1, 0x81)),
              result_code::peer_message_too_large);
}

// Guards against a peer that has not proved its identity yet and ends the
// process with an array that claims more elements than can exist.
TEST(damaged_handshakes, may_claim_any_number_of_elements)
{
    const std::vector<std::uint8_t> claim{0x9b, 0xff, 0xff, 0xff, 0xff,
                                          0xff, 0xff, 0xff, 0xfe};
    EXPECT_FALSE(net::decode_party(claim));
    EXPECT_FALSE(net::decode_answer(claim));
    EXPECT_FALSE(net::decode_proof(claim));
}
