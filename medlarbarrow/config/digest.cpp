#include <medlarbarrow/config/digest.hpp>
#include <openssl/evp.h>
#include <stdexcept>

namespace medlarbarrow::config
{

namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";

} // namespace

core::key_digest sha256(std::string_view text)
{
    core::key_digest digest{};
    if (EVP_Digest(text.data(), text.size(), digest.data(), nullptr,
                   EVP_sha256(), nullptr) != 1)
    {
        throw std::runtime_error(
            "the cryptographic library does not provide SHA-256");
    }
    return digest;
}

std::string to_hex(const core::key_digest& digest)
{
    std::string text;
    text.reserve(digest.size() * 2);
    for (const std::uint8_t byte : digest)
    {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 15U];
    }
    return text;
}

bool from_hex(std::string_view text, core::key_digest& digest)
{
    if (text.size() != digest.size() * 2)
    {
        return false;
    }
    core::key_digest parsed{};
    for (std::size_t index = 0; index < parsed.size(); ++index)
    {
        const std::size_t high = hex_digits.find(text[2 * index]);
        const std::size_t low = hex_digits.find(text[2 * index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
        {
            return false;
        }
        parsed[index] = static_cast<std::uint8_t>(high << 4U | low);
    }
    digest = parsed;
    return true;
}

} // namespace medlarbarrow::config
