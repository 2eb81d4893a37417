#include <algorithm>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/net/peer_auth.hpp>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace medlarbarrow::net
{

namespace
{

using json = nlohmann::json;
using core::result_code;

constexpr std::size_t max_name_bytes = 255;

json to_json(const auth_block& source)
{
    return json::binary(
        std::vector<std::uint8_t>(source.begin(), source.end()));
}

json to_json(const auth_party& source)
{
    return json::array({core::message_format, source.id.name,
                        source.id.incarnation, to_json(source.nonce)});
}

bool read(const json& source, auth_block& target)
{
    if (!source.is_binary() || source.get_binary().size() != auth_bytes)
    {
        return false;
    }
    std::ranges::copy(source.get_binary(), target.begin());
    return true;
}

/// Reads a party from the start of an array that must have `item_count` values.
std::error_code
read_party(const json& source, std::size_t item_count, auth_party& target)
{
    if (!source.is_array() || source.empty() || !source[0].is_number_unsigned())
    {
        return result_code::peer_message_invalid;
    }
    if (source[0].get<std::uint64_t>() > core::message_format)
    {
        return result_code::peer_newer_format;
    }
    if (source.size() != item_count || !source[1].is_string() ||
        !source[2].is_number_unsigned() || !read(source[3], target.nonce))
    {
        return result_code::peer_message_invalid;
    }
    target.id.name = source[1].get<std::string>();
    target.id.incarnation = source[2].get<std::uint64_t>();
    if (target.id.name.empty() || target.id.name.size() > max_name_bytes)
    {
        return result_code::peer_message_invalid;
    }
    return {};
}

/// Parses CBOR. The result is a discarded value if the bytes are invalid.
json parse(std::span<const std::uint8_t> bytes)
{
    // The parser throws for a claim of more elements than can exist.
    try
    {
        return json::from_cbor(bytes.begin(), bytes.end(), true, false);
    }
    catch (const json::exception&)
    {
        return {json::value_t::discarded};
    }
}

/// Appends eight bytes in little-endian order.
void append_little_endian(std::string& text, std::uint64_t value)
{
    constexpr int bits = 64;
    for (int shift = 0; shift < bits; shift += 8)
    {
        text += static_cast<char>(value >> static_cast<unsigned>(shift));
    }
}

/// Appends a party to the text of a proof. The name has a length prefix, so
/// that two different parties never give the same text.
void append(std::string& text, const auth_party& party)
{
    append_little_endian(text, party.id.name.size());
    text += party.id.name;
    append_little_endian(text, party.id.incarnation);
    text.append(party.nonce.begin(), party.nonce.end());
}

} // namespace

auth_block make_nonce()
{
    auth_block nonce{};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1)
    {
        throw std::runtime_error(
            "OpenSSL returned no random bytes for a nonce");
    }
    return nonce;
}

auth_block make_proof(const std::string& secret,
                      link_side author,
                      const auth_party& opening,
                      const auth_party& accepting)
{
    std::string text = author == link_side::opening
                           ? "medlarbarrow peer link 1 opening"
                           : "medlarbarrow peer link 1 accepting";
    append(text, opening);
    append(text, accepting);
    auth_block proof{};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         proof.data(), &length);
    return proof;
}

bool equal_constant_time(const auth_block& left,
                         const auth_block& right) noexcept
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::vector<std::uint8_t> encode(const auth_party& source)
{
    return json::to_cbor(to_json(source));
}

std::vector<std::uint8_t> encode(const auth_answer& source)
{
    json items = to_json(source.party);
    items.push_back(to_json(source.proof));
    return json::to_cbor(items);
}

std::vector<std::uint8_t> encode(const auth_block& proof)
{
    return json::to_cbor(to_json(proof));
}

core::result<auth_party> decode_party(std::span<const std::uint8_t> bytes)
{
    constexpr std::size_t item_count = 4;
    auth_party party;
    if (const auto error = read_party(parse(bytes), item_count, party))
    {
        return error;
    }
    return party;
}

core::result<auth_answer> decode_answer(std::span<const std::uint8_t> bytes)
{
    constexpr std::size_t item_count = 5;
    const json source = parse(bytes);
    auth_answer answer;
    if (const auto error = read_party(source, item_count, answer.party))
    {
        return error;
    }
    if (!read(source[item_count - 1], answer.proof))
    {
        return make_error_code(result_code::peer_message_invalid);
    }
    return answer;
}

core::result<auth_block> decode_proof(std::span<const std::uint8_t> bytes)
{
    auth_block proof{};
    if (!read(parse(bytes), proof))
    {
        return make_error_code(result_code::peer_message_invalid);
    }
    return proof;
}

} // namespace medlarbarrow::net
