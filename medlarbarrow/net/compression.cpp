#include <array>
#include <medlarbarrow/net/compression.hpp>
#include <stdexcept>
#include <zlib.h>

namespace medlarbarrow::net
{

namespace
{

/// Ends the use of a zlib stream.
struct inflate_guard
{
    z_stream& stream;

    explicit inflate_guard(z_stream& used) : stream(used) {}
    inflate_guard(const inflate_guard&) = delete;
    inflate_guard& operator=(const inflate_guard&) = delete;
    ~inflate_guard()
    {
        inflateEnd(&this->stream);
    }
};

} // namespace

std::string compress(std::string_view text)
{
    uLongf size = compressBound(static_cast<uLong>(text.size()));
    std::string bytes(size, '\0');
    const int status = compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
                                 reinterpret_cast<const Bytef*>(text.data()),
                                 static_cast<uLong>(text.size()), Z_BEST_SPEED);
    if (status != Z_OK)
    {
        throw std::runtime_error("zlib has no memory");
    }
    bytes.resize(size);
    return bytes;
}

// Grows the text part by part, so that a few bytes that claim a long text cost
// no more memory than the text that they hold.
core::result<std::string> decompress(std::string_view bytes,
                                     std::size_t max_bytes)
{
    constexpr std::size_t part_bytes = 16384;
    const std::error_code invalid =
        core::make_error_code(core::result_code::peer_message_invalid);
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
    {
        return invalid;
    }
    const inflate_guard guard(stream);
    // zlib does not write to its input.
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string text;
    std::array<char, part_bytes> part{};
    int status = Z_OK;
    while (status == Z_OK && text.size() <= max_bytes)
    {
        stream.next_out = reinterpret_cast<Bytef*>(part.data());
        stream.avail_out = static_cast<uInt>(part.size());
        status = inflate(&stream, Z_NO_FLUSH);
        text.append(part.data(), part.size() - stream.avail_out);
    }
    if (status != Z_STREAM_END || text.size() > max_bytes)
    {
        return invalid;
    }
    return text;
}

} // namespace medlarbarrow::net
