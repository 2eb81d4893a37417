#include <gtest/gtest.h>
#include <medlarbarrow/net/compression.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;

namespace
{

constexpr std::size_t max_bytes = 1U << 20U;

} // namespace

// Guards against a text that a peer gets changed.
RC_GTEST_PROP(a_compressed_text, is_the_same_afterwards, (std::string text))
{
    const auto restored =
        net::decompress(net::compress(text + text), max_bytes);
    RC_ASSERT(restored.has_value());
    RC_ASSERT(*restored == text + text);
}

// Guards against damaged bytes of a peer that end the process or pass as a
// text.
RC_GTEST_PROP(a_compressed_text, is_refused_when_it_is_cut_off, ())
{
    const std::string bytes = net::compress(std::string(1000, 'a') + "b");
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!net::decompress(bytes.substr(0, length), max_bytes));
    const auto noise = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(!net::decompress(noise, max_bytes));
}

// Guards against a few bytes that exhaust the memory of the instance, and
// against repeated entries of a listing that are sent in full.
TEST(a_compressed_text, has_a_greatest_length)
{
    const std::string bytes = net::compress(std::string(8 * max_bytes, 'a'));
    EXPECT_LT(bytes.size(), max_bytes / 8);
    EXPECT_FALSE(net::decompress(bytes, max_bytes));
    EXPECT_TRUE(net::decompress(bytes, 8 * max_bytes));
}
