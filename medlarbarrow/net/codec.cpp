#include <array>
#include <bit>
#include <cmath>
#include <medlarbarrow/net/codec.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace medlarbarrow::net
{

namespace
{

using json = nlohmann::json;
using core::result_code;

// Bounds of the values. They are well above what the designed size needs
// (docs/design.md, section 1.4) and keep a faulty peer from filling memory.
constexpr std::size_t max_name_bytes = 255;
constexpr std::size_t max_text_bytes = 1'000'000; // a configuration value
constexpr std::size_t max_answer_bytes = 16'384;  // docs/design.md, 2.4
constexpr std::size_t max_list_items = 4096;
constexpr std::uint32_t max_parts = 16'384;
constexpr double max_amount = 1e12;
constexpr std::chrono::hours max_period{24 * 7};
constexpr std::chrono::hours max_wall_time{24 * 366 * 200}; // since 1970
constexpr unsigned max_status = 999;
constexpr unsigned max_depth = 6;
constexpr std::size_t max_items = 131'072;

/// Initial bytes of CBOR (RFC 8949, section 3) that encode() emits.
enum class major_type : unsigned
{
    unsigned_number = 0,
    text = 3,
    array = 4,
    simple = 7
};

/// Reads the heads of CBOR items.
class head_reader
{
public:
    struct head
    {
        unsigned major = 0;
        unsigned detail = 0;
        std::uint64_t argument = 0;
    };

    explicit head_reader(std::span<const std::uint8_t> source) : bytes(source)
    {
    }

    std::optional<head> next()
    {
        if (this->offset == this->bytes.size())
        {
            return std::nullopt;
        }
        constexpr unsigned major_shift = 5;
        constexpr unsigned detail_mask = 31;
        constexpr unsigned first_length = 24;
        constexpr unsigned last_length = 27;
        const unsigned initial = this->bytes[this->offset++];
        head found{initial >> major_shift, initial & detail_mask, 0};
        if (found.detail < first_length)
        {
            found.argument = found.detail;
            return found;
        }
        if (found.detail > last_length)
        {
            return std::nullopt; // reserved or of indefinite length
        }
        const std::size_t length = std::size_t{1}
                                   << (found.detail - first_length);
        if (this->remaining() < length)
        {
            return std::nullopt;
        }
        for (std::size_t index = 0; index < length; ++index)
        {
            found.argument = found.argument << 8U | this->bytes[this->offset++];
        }
        return found;
    }

    bool skip(std::uint64_t count)
    {
        if (count > this->remaining())
        {
            return false;
        }
        this->offset += static_cast<std::size_t>(count);
        return true;
    }

    std::size_t remaining() const
    {
        return this->bytes.size() - this->offset;
    }

private:
    std::span<const std::uint8_t> bytes;
    std::size_t offset = 0;
};

constexpr bool is(const head_reader::head& found, major_type wanted)
{
    return found.major == static_cast<unsigned>(wanted);
}

/// False, true, null, or a float of 32 or 64 bits. Half floats are only
/// emitted for NaN and infinities, which no message may hold.
constexpr bool is_accepted_simple(const head_reader::head& found)
{
    constexpr unsigned simple_false = 20;
    constexpr unsigned simple_null = 22;
    constexpr unsigned float_32 = 26;
    constexpr unsigned float_64 = 27;
    return (found.detail >= simple_false && found.detail <= simple_null) ||
           found.detail == float_32 || found.detail == float_64;
}

/// True when `bytes` are one CBOR item of the kinds that encode() emits. The
/// reader of nlohmann/json recurses for nested items and for chunked strings,
/// so hostile input has to be refused before it gets there.
bool is_well_formed(std::span<const std::uint8_t> bytes)
{
    head_reader reader(bytes);
    std::array<std::uint64_t, max_depth> open{}; // items missing per level
    unsigned depth = 0;
    std::size_t items = 0;
    do
    {
        const auto found = reader.next();
        if (!found || ++items > max_items)
        {
            return false;
        }
        if (depth != 0)
        {
            --open.at(depth - 1);
        }
        if (is(*found, major_type::array))
        {
            if (depth == max_depth || found->argument > reader.remaining())
            {
                return false;
            }
            open.at(depth++) = found->argument;
        }
        else if (is(*found, major_type::text))
        {
            if (!reader.skip(found->argument))
            {
                return false;
            }
        }
        else if (is(*found, major_type::simple))
        {
            if (!is_accepted_simple(*found))
            {
                return false;
            }
        }
        else if (!is(*found, major_type::unsigned_number))
        {
            return false;
        }
        while (depth != 0 && open.at(depth - 1) == 0)
        {
            --depth;
        }
    } while (depth != 0);
    return reader.remaining() == 0;
}

/// Format number at the start of an envelope, whatever follows it.
std::optional<std::uint64_t> format_of(std::span<const std::uint8_t> bytes)
{
    head_reader reader(bytes);
    const auto envelope = reader.next();
    if (!envelope || !is(*envelope, major_type::array))
    {
        return std::nullopt;
    }
    const auto format = reader.next();
    if (!format || !is(*format, major_type::unsigned_number))
    {
        return std::nullopt;
    }
    return format->argument;
}

bool is_name(const std::string& value)
{
    constexpr unsigned char first_printable = 0x21;
    constexpr unsigned char delete_character = 0x7F;
    for (const char letter : value)
    {
        const auto byte = static_cast<unsigned char>(letter);
        if (byte < first_printable || byte == delete_character)
        {
            return false;
        }
    }
    return value.size() <= max_name_bytes;
}

bool is_amount(double value)
{
    return std::isfinite(value) && value >= 0.0 && value <= max_amount;
}

/// Writes the fields of a message into a CBOR array, in order.
class writer
{
public:
    json::array_t items;
    bool valid = true;

    void number(std::uint64_t& value)
    {
        this->items.emplace_back(value);
    }

    void number(std::uint32_t& value, std::uint32_t greatest = UINT32_MAX)
    {
        this->valid = this->valid && value <= greatest;
        this->items.emplace_back(value);
    }

    void flag(bool& value)
    {
        this->items.emplace_back(value);
    }

    void amount(double& value)
    {
        this->valid = this->valid && is_amount(value);
        this->items.emplace_back(value);
    }

    void text(std::string& value, std::size_t greatest)
    {
        this->valid = this->valid && value.size() <= greatest;
        this->items.emplace_back(std::move(value));
    }

    void name(std::string& value)
    {
        this->valid = this->valid && !value.empty() && is_name(value);
        this->items.emplace_back(std::move(value));
    }

    void optional_name(std::string& value)
    {
        this->valid = this->valid && is_name(value);
        this->items.emplace_back(std::move(value));
    }

    template <class Period>
    void period(Period& value, std::chrono::hours greatest = max_period)
    {
        this->valid =
            this->valid && value >= Period::zero() && value <= Period(greatest);
        this->items.emplace_back(static_cast<std::uint64_t>(value.count()));
    }

    template <class Enum>
    void choice(Enum& value, Enum last)
    {
        this->valid = this->valid && value <= last;
        this->items.emplace_back(static_cast<std::uint32_t>(value));
    }

    template <class Value>
    void object(Value& value)
    {
        writer inner;
        fields(inner, value);
        this->valid = this->valid && inner.valid;
        this->items.emplace_back(std::move(inner.items));
    }

    template <class Value>
    void list(std::vector<Value>& values)
    {
        this->valid = this->valid && values.size() <= max_list_items;
        writer inner;
        for (Value& value : values)
        {
            inner.object(value);
        }
        this->valid = this->valid && inner.valid;
        this->items.emplace_back(std::move(inner.items));
    }

    template <class Value>
    void maybe(std::optional<Value>& value)
    {
        if (value)
        {
            this->object(*value);
        }
        else
        {
            this->items.emplace_back(nullptr);
        }
    }
};

/// Reads the fields of a message from a CBOR array, in order.
class reader
{
public:
    explicit reader(json& source)
    {
        if (source.is_array())
        {
            this->items = source.get_ptr<json::array_t*>();
        }
    }

    bool valid = true;

    /// True when all fields were valid and none is left over.
    bool is_complete() const
    {
        return this->valid && this->items != nullptr &&
               this->position == this->items->size();
    }

    void number(std::uint64_t& value)
    {
        json* item = this->next();
        if (this->require(item != nullptr && item->is_number_unsigned()))
        {
            value = item->get<std::uint64_t>();
        }
    }

    void number(std::uint32_t& value, std::uint32_t greatest = UINT32_MAX)
    {
        std::uint64_t wide = 0;
        this->number(wide);
        if (this->require(wide <= greatest))
        {
            value = static_cast<std::uint32_t>(wide);
        }
    }

    void flag(bool& value)
    {
        json* item = this->next();
        if (this->require(item != nullptr && item->is_boolean()))
        {
            value = item->get<bool>();
        }
    }

    void amount(double& value)
    {
        json* item = this->next();
        if (this->require(item != nullptr && item->is_number()) &&
            this->require(is_amount(item->get<double>())))
        {
            value = item->get<double>();
        }
    }

    void text(std::string& value, std::size_t greatest)
    {
        json* item = this->next();
        if (!this->require(item != nullptr && item->is_string()))
        {
            return;
        }
        auto& content = item->get_ref<std::string&>();
        if (this->require(content.size() <= greatest))
        {
            value = std::move(content);
        }
    }

    void name(std::string& value)
    {
        this->optional_name(value);
        this->require(!value.empty());
    }

    void optional_name(std::string& value)
    {
        this->text(value, max_name_bytes);
        this->require(is_name(value));
    }

    template <class Period>
    void period(Period& value, std::chrono::hours greatest = max_period)
    {
        std::uint64_t count = 0;
        this->number(count);
        const auto bound = static_cast<std::uint64_t>(Period(greatest).count());
        if (this->require(count <= bound))
        {
            value = Period(static_cast<typename Period::rep>(count));
        }
    }

    template <class Enum>
    void choice(Enum& value, Enum last)
    {
        std::uint32_t number = 0;
        this->number(number, static_cast<std::uint32_t>(last));
        value = static_cast<Enum>(number);
    }

    template <class Value>
    void object(Value& value)
    {
        json* item = this->next();
        if (this->require(item != nullptr))
        {
            this->read_object(*item, value);
        }
    }

    template <class Value>
    void list(std::vector<Value>& values)
    {
        json* item = this->next();
        if (!this->require(item != nullptr && item->is_array() &&
                           item->size() <= max_list_items))
        {
            return;
        }
        for (json& source : *item)
        {
            this->read_object(source, values.emplace_back());
        }
    }

    template <class Value>
    void maybe(std::optional<Value>& value)
    {
        json* item = this->next();
        if (this->require(item != nullptr) && !item->is_null())
        {
            this->read_object(*item, value.emplace());
        }
    }

private:
    bool require(bool condition)
    {
        this->valid = this->valid && condition;
        return this->valid;
    }

    json* next()
    {
        if (!this->valid || this->items == nullptr ||
            this->position == this->items->size())
        {
            return nullptr;
        }
        return &(*this->items)[this->position++];
    }

    template <class Value>
    void read_object(json& source, Value& value)
    {
        reader inner(source);
        fields(inner, value);
        this->require(inner.is_complete());
    }

    json::array_t* items = nullptr;
    std::size_t position = 0;
};

// One function for each type lists its fields for both directions. The order
// of the fields is part of the format.

template <class Archive>
void fields(Archive& archive, core::digest& value)
{
    archive.number(value.high);
    archive.number(value.low);
}

template <class Archive>
void wall_time(Archive& archive, core::wall_time& value)
{
    std::chrono::milliseconds since_epoch = value.time_since_epoch();
    archive.period(since_epoch, max_wall_time);
    value = core::wall_time(since_epoch);
}

template <class Archive>
void fields(Archive& archive, core::delegation_request& value)
{
    archive.number(value.nonce);
    archive.number(value.buckets);
}

template <class Archive>
void fields(Archive& archive, core::instance_id& value)
{
    archive.name(value.name);
    archive.number(value.incarnation);
}

template <class Archive>
void fields(Archive& archive, core::delegation_origin& value)
{
    archive.object(value.previous);
    archive.number(value.buckets);
}

template <class Archive>
void fields(Archive& archive, core::delegation& value)
{
    archive.number(value.nonce);
    archive.number(value.buckets);
    archive.period(value.lease);
    archive.list(value.origins);
}

template <class Archive>
void fields(Archive& archive, core::delegation_release& value)
{
    archive.number(value.buckets);
    archive.number(value.last_counted_nonce);
}

template <class Archive>
void fields(Archive& archive, core::token_demand& value)
{
    archive.name(value.account);
    archive.amount(value.held);
    archive.amount(value.requested);
}

template <class Archive>
void fields(Archive& archive, core::token_request& value)
{
    archive.number(value.nonce);
    archive.list(value.demands);
}

template <class Archive>
void fields(Archive& archive, core::token_amount& value)
{
    archive.name(value.account);
    archive.amount(value.amount);
}

template <class Archive>
void fields(Archive& archive, core::token_grant& value)
{
    archive.number(value.nonce);
    archive.period(value.lease);
    archive.list(value.amounts);
}

template <class Archive>
void fields(Archive& archive, core::order_claim& value)
{
    archive.number(value.nonce);
    archive.object(value.identity);
    wall_time(archive, value.created);
    archive.period(value.deadline);
}

template <class Archive>
void fields(Archive& archive, core::stored_answer& value)
{
    archive.number(value.status, max_status);
    archive.text(value.content_type, max_name_bytes);
    archive.text(value.body, max_answer_bytes);
}

template <class Archive>
void fields(Archive& archive, core::order_verdict& value)
{
    archive.number(value.nonce);
    archive.object(value.identity);
    archive.choice(value.kind, core::order_verdict_kind::in_future);
    archive.maybe(value.answer);
}

template <class Archive>
void fields(Archive& archive, core::order_result& value)
{
    archive.object(value.identity);
    archive.choice(value.outcome, core::order_outcome::unknown);
    archive.maybe(value.answer);
    archive.number(value.claim);
}

template <class Archive>
void fields(Archive& archive, core::order_record_copy& value)
{
    archive.object(value.identity);
    wall_time(archive, value.created);
    archive.flag(value.pending);
    archive.maybe(value.answer);
    archive.object(value.claimant);
    archive.number(value.claim);
    archive.period(value.remaining);
}

template <class Archive>
void fields(Archive& archive, core::order_handover& value)
{
    archive.number(value.bucket, core::bucket_count - 1);
    archive.number(value.part);
    archive.flag(value.last);
    wall_time(archive, value.knowledge_start);
    archive.list(value.records);
}

template <class Archive>
void fields(Archive& archive, core::server_observation& value)
{
    archive.name(value.server);
    archive.number(value.succeeded);
    archive.number(value.failed);
    archive.number(value.timed_out);
    archive.period(value.mean_latency);
}

template <class Archive>
void fields(Archive& archive, core::observation_report& value)
{
    archive.number(value.nonce);
    archive.name(value.service);
    archive.list(value.servers);
}

template <class Archive>
void fields(Archive& archive, core::server_verdict& value)
{
    archive.name(value.server);
    archive.choice(value.state, core::server_state::path_cut);
    archive.period(value.lease);
    archive.optional_name(value.via);
}

template <class Archive>
void fields(Archive& archive, core::service_verdict& value)
{
    archive.number(value.nonce);
    archive.name(value.service);
    archive.flag(value.reporter_cut_off);
    archive.list(value.servers);
}

template <class Archive>
void fields(Archive& archive, core::crash_report& value)
{
    archive.number(value.nonce);
    archive.object(value.request);
    archive.name(value.service);
    archive.name(value.server);
}

template <class Archive>
void fields(Archive& archive, core::crash_verdict& value)
{
    archive.number(value.nonce);
    archive.object(value.request);
    archive.flag(value.blocked);
    archive.period(value.lease);
}

template <class Archive>
void fields(Archive& archive, core::hello& value)
{
    archive.name(value.data_centre);
    archive.number(value.document_version);
    archive.number(value.list_version);
    archive.flag(value.leaving);
}

template <class Archive>
void fields(Archive& archive, core::document_pull& value)
{
    archive.number(value.have_version);
}

template <class Archive>
void fields(Archive& archive, core::document_part& value)
{
    archive.number(value.version);
    archive.number(value.index, max_parts - 1);
    archive.number(value.count, max_parts);
    archive.text(value.text, max_text_bytes);
    archive.valid = archive.valid && value.index < value.count;
}

template <class Archive>
void fields(Archive& archive, core::list_copy& value)
{
    archive.number(value.version);
    archive.text(value.text, max_text_bytes);
}

constexpr std::array<std::string_view, std::variant_size_v<core::message>>
    type_names{"delegation_request", "delegation",      "delegation_release",
               "token_request",      "token_grant",     "order_claim",
               "order_verdict",      "order_result",    "order_handover",
               "observation_report", "service_verdict", "crash_report",
               "crash_verdict",      "hello",           "document_pull",
               "document_part",      "list_copy"};

/// Reads the body of the message type with this index.
template <std::size_t Index = 0>
bool read_body(std::size_t type, json& body, core::message& target)
{
    if constexpr (Index < std::variant_size_v<core::message>)
    {
        if (type != Index)
        {
            return read_body<Index + 1>(type, body, target);
        }
        reader archive(body);
        fields(archive, target.emplace<Index>());
        return archive.is_complete();
    }
    else
    {
        return false;
    }
}

} // namespace

core::result<std::vector<std::uint8_t>> encode(const core::instance_id& sender,
                                               const core::message& source)
{
    core::instance_id from = sender;
    core::message copy = source;
    std::uint32_t format = core::message_format;
    auto type = static_cast<std::uint32_t>(source.index());
    writer envelope;
    envelope.number(format);
    envelope.name(from.name);
    envelope.number(from.incarnation);
    envelope.number(type);
    std::visit(
        [&envelope](auto& body)
        {
            envelope.object(body);
        },
        copy);
    if (!envelope.valid)
    {
        return make_error_code(result_code::peer_message_invalid);
    }
    std::vector<std::uint8_t> bytes =
        json::to_cbor(json(std::move(envelope.items)));
    if (bytes.size() > max_message_bytes)
    {
        return make_error_code(result_code::peer_message_too_large);
    }
    return bytes;
}

core::result<received_message> decode(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() > max_message_bytes)
    {
        return make_error_code(result_code::peer_message_too_large);
    }
    const auto format = format_of(bytes);
    if (format && *format > core::message_format)
    {
        return make_error_code(result_code::peer_newer_format);
    }
    if (format != core::message_format || !is_well_formed(bytes))
    {
        return make_error_code(result_code::peer_message_invalid);
    }
    json envelope = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    constexpr std::size_t envelope_items = 5;
    if (!envelope.is_array() || envelope.size() != envelope_items)
    {
        return make_error_code(result_code::peer_message_invalid);
    }
    json body = std::move(envelope[envelope_items - 1]);
    envelope.erase(envelope_items - 1);
    reader head(envelope);
    received_message received;
    std::uint32_t known_format = 0;
    std::uint32_t type = 0;
    head.number(known_format);
    head.name(received.sender.name);
    head.number(received.sender.incarnation);
    head.number(type);
    if (!head.is_complete() || !read_body(type, body, received.message))
    {
        return make_error_code(result_code::peer_message_invalid);
    }
    return received;
}

std::string_view type_name(std::size_t index) noexcept
{
    return index < type_names.size() ? type_names.at(index) : "unknown";
}

std::string_view type_name(const core::message& source) noexcept
{
    return type_name(source.index());
}

} // namespace medlarbarrow::net
