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

// Limits of the values. They are well above the needs of the design size
// (docs/design.md, section 1.4) and prevent that a faulty peer exhausts memory.
constexpr std::size_t max_name_bytes = 255;
constexpr std::size_t max_text_bytes = 1'000'000; // a configuration value
constexpr std::size_t max_answer_bytes = 16'384;  // docs/design.md, 2.4
constexpr std::size_t max_list_items = 4096;
constexpr std::uint32_t max_document_parts = 16'384;
constexpr double max_amount = 1e12;
constexpr std::chrono::hours max_duration{24 * 7};
constexpr std::chrono::hours max_wall_time{24 * 366 * 200}; // since 1970
constexpr unsigned max_status = 999;
constexpr unsigned max_depth = 6;          // nesting of CBOR arrays
constexpr std::size_t max_items = 131'072; // CBOR items in one message

/// Major types of CBOR (RFC 8949, section 3) that encode() emits.
enum class major_type : unsigned
{
    unsigned_number = 0,
    text = 3,
    array = 4,
    simple = 7
};

/// Reads the heads of CBOR data items without their content.
class head_reader
{
public:
    struct head
    {
        unsigned major = 0;
        unsigned additional_info = 0;
        std::uint64_t argument = 0;
    };

    explicit head_reader(std::span<const std::uint8_t> source) : bytes(source)
    {
    }

    /// Reads the next head. Nothing at the end of the input, or if the head is
    /// incomplete, reserved or of indefinite length.
    std::optional<head> next()
    {
        if (this->offset == this->bytes.size())
        {
            return std::nullopt;
        }
        constexpr unsigned major_shift = 5;
        constexpr unsigned additional_info_mask = 31;
        constexpr unsigned first_sized_argument = 24;
        constexpr unsigned last_sized_argument = 27;
        const unsigned initial = this->bytes[this->offset++];
        head item{initial >> major_shift, initial & additional_info_mask, 0};
        if (item.additional_info < first_sized_argument)
        {
            item.argument = item.additional_info;
            return item;
        }
        if (item.additional_info > last_sized_argument)
        {
            return std::nullopt; // reserved or of indefinite length
        }
        const std::size_t length =
            std::size_t{1} << (item.additional_info - first_sized_argument);
        if (this->remaining() < length)
        {
            return std::nullopt;
        }
        for (std::size_t index = 0; index < length; ++index)
        {
            item.argument = item.argument << 8U | this->bytes[this->offset++];
        }
        return item;
    }

    /// Skips content bytes. False if fewer than `count` bytes remain.
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

constexpr bool has_type(const head_reader::head& item, major_type type)
{
    return item.major == static_cast<unsigned>(type);
}

/// Accepts false, true, null and floats of 32 or 64 bits. Half-precision floats
/// are refused, because they are only emitted for NaN and infinities, which no
/// message may contain.
constexpr bool is_accepted_simple(const head_reader::head& item)
{
    constexpr unsigned simple_false = 20;
    constexpr unsigned simple_null = 22;
    constexpr unsigned float_32 = 26;
    constexpr unsigned float_64 = 27;
    return (item.additional_info >= simple_false &&
            item.additional_info <= simple_null) ||
           item.additional_info == float_32 || item.additional_info == float_64;
}

/// True if `bytes` are exactly one CBOR data item of the types that encode()
/// emits. The parser of nlohmann/json recurses for nested items and for chunked
/// strings, so hostile input must be refused before it is parsed.
bool is_well_formed(std::span<const std::uint8_t> bytes)
{
    head_reader reader(bytes);
    std::array<std::uint64_t, max_depth> missing_items{}; // per level
    unsigned depth = 0;
    std::size_t items = 0;
    do
    {
        const auto item = reader.next();
        if (!item || ++items > max_items)
        {
            return false;
        }
        if (depth != 0)
        {
            --missing_items.at(depth - 1);
        }
        if (has_type(*item, major_type::array))
        {
            if (depth == max_depth || item->argument > reader.remaining())
            {
                return false;
            }
            missing_items.at(depth++) = item->argument;
        }
        else if (has_type(*item, major_type::text))
        {
            if (!reader.skip(item->argument))
            {
                return false;
            }
        }
        else if (has_type(*item, major_type::simple))
        {
            if (!is_accepted_simple(*item))
            {
                return false;
            }
        }
        else if (!has_type(*item, major_type::unsigned_number))
        {
            return false;
        }
        while (depth != 0 && missing_items.at(depth - 1) == 0)
        {
            --depth;
        }
    } while (depth != 0);
    return reader.remaining() == 0;
}

/// Reads the format number at the start of an envelope without checking the
/// rest. Nothing if the bytes do not start with an envelope.
std::optional<std::uint64_t> format_of(std::span<const std::uint8_t> bytes)
{
    head_reader reader(bytes);
    const auto envelope = reader.next();
    if (!envelope || !has_type(*envelope, major_type::array))
    {
        return std::nullopt;
    }
    const auto format = reader.next();
    if (!format || !has_type(*format, major_type::unsigned_number))
    {
        return std::nullopt;
    }
    return format->argument;
}

/// A name has at most max_name_bytes bytes and no spaces or ASCII control
/// characters.
/// An empty name is accepted.
bool is_name(const std::string& value)
{
    constexpr unsigned char first_printable = 0x21;
    constexpr unsigned char delete_character = 0x7F;
    for (const char character : value)
    {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < first_printable || byte == delete_character)
        {
            return false;
        }
    }
    return value.size() <= max_name_bytes;
}

/// An amount is finite, not negative and at most max_amount.
bool is_amount(double value)
{
    return std::isfinite(value) && value >= 0.0 && value <= max_amount;
}

/// Writes the fields of a message into a CBOR array, in order. `valid` is false
/// after a value that exceeds its limits. Strings are moved from the message.
class writer
{
public:
    json::array_t items;
    bool valid = true;

    void number(std::uint64_t& value)
    {
        this->items.emplace_back(value);
    }

    void number(std::uint32_t& value, std::uint32_t max_value = UINT32_MAX)
    {
        this->valid = this->valid && value <= max_value;
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

    void text(std::string& value, std::size_t max_bytes)
    {
        this->valid = this->valid && value.size() <= max_bytes;
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

    template <class Duration>
    void duration(Duration& value, std::chrono::hours max_value = max_duration)
    {
        this->valid = this->valid && value >= Duration::zero() &&
                      value <= Duration(max_value);
        this->items.emplace_back(static_cast<std::uint64_t>(value.count()));
    }

    template <class Enum>
    void enumerator(Enum& value, Enum last)
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
    void optional_object(std::optional<Value>& value)
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

/// Reads the fields of a message from a CBOR array, in order. `valid` is false
/// after a missing field or a value that exceeds its limits.
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

    /// True if all fields were valid and no value is left over.
    bool is_complete() const
    {
        return this->valid && this->items != nullptr &&
               this->position == this->items->size();
    }

    void number(std::uint64_t& value)
    {
        json* item = this->next_item();
        if (this->require(item != nullptr && item->is_number_unsigned()))
        {
            value = item->get<std::uint64_t>();
        }
    }

    void number(std::uint32_t& value, std::uint32_t max_value = UINT32_MAX)
    {
        std::uint64_t wide_value = 0;
        this->number(wide_value);
        if (this->require(wide_value <= max_value))
        {
            value = static_cast<std::uint32_t>(wide_value);
        }
    }

    void flag(bool& value)
    {
        json* item = this->next_item();
        if (this->require(item != nullptr && item->is_boolean()))
        {
            value = item->get<bool>();
        }
    }

    void amount(double& value)
    {
        json* item = this->next_item();
        if (this->require(item != nullptr && item->is_number()) &&
            this->require(is_amount(item->get<double>())))
        {
            value = item->get<double>();
        }
    }

    void text(std::string& value, std::size_t max_bytes)
    {
        json* item = this->next_item();
        if (!this->require(item != nullptr && item->is_string()))
        {
            return;
        }
        auto& content = item->get_ref<std::string&>();
        if (this->require(content.size() <= max_bytes))
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

    template <class Duration>
    void duration(Duration& value, std::chrono::hours max_value = max_duration)
    {
        std::uint64_t count = 0;
        this->number(count);
        const auto max_count =
            static_cast<std::uint64_t>(Duration(max_value).count());
        if (this->require(count <= max_count))
        {
            value = Duration(static_cast<typename Duration::rep>(count));
        }
    }

    template <class Enum>
    void enumerator(Enum& value, Enum last)
    {
        std::uint32_t number = 0;
        this->number(number, static_cast<std::uint32_t>(last));
        value = static_cast<Enum>(number);
    }

    template <class Value>
    void object(Value& value)
    {
        json* item = this->next_item();
        if (this->require(item != nullptr))
        {
            this->read_object(*item, value);
        }
    }

    template <class Value>
    void list(std::vector<Value>& values)
    {
        json* item = this->next_item();
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
    void optional_object(std::optional<Value>& value)
    {
        json* item = this->next_item();
        if (this->require(item != nullptr) && !item->is_null())
        {
            this->read_object(*item, value.emplace());
        }
    }

private:
    /// Records a failed check. False if this check or an earlier one failed.
    bool require(bool condition)
    {
        this->valid = this->valid && condition;
        return this->valid;
    }

    /// The next value of the array; null if there is none or a check failed.
    json* next_item()
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

// One function for each type lists its fields for both the writer and the
// reader. The order of the fields is part of the message format.

template <class Archive>
void fields(Archive& archive, core::digest& value)
{
    archive.number(value.high);
    archive.number(value.low);
}

template <class Archive>
void wall_time_field(Archive& archive, core::wall_time& value)
{
    std::chrono::milliseconds since_epoch = value.time_since_epoch();
    archive.duration(since_epoch, max_wall_time);
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
    archive.duration(value.lease);
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
    archive.duration(value.lease);
    archive.list(value.amounts);
}

template <class Archive>
void fields(Archive& archive, core::order_claim& value)
{
    archive.number(value.nonce);
    archive.object(value.identity);
    wall_time_field(archive, value.created);
    archive.duration(value.deadline);
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
    archive.enumerator(value.kind, core::order_verdict_kind::in_future);
    archive.optional_object(value.answer);
}

template <class Archive>
void fields(Archive& archive, core::order_result& value)
{
    archive.object(value.identity);
    archive.enumerator(value.outcome, core::order_outcome::unknown);
    archive.optional_object(value.answer);
    archive.number(value.claim);
}

template <class Archive>
void fields(Archive& archive, core::order_record_copy& value)
{
    archive.object(value.identity);
    wall_time_field(archive, value.created);
    archive.flag(value.pending);
    archive.optional_object(value.answer);
    archive.object(value.claimant);
    archive.number(value.claim);
    archive.duration(value.remaining);
}

template <class Archive>
void fields(Archive& archive, core::order_handover& value)
{
    archive.number(value.bucket, core::bucket_count - 1);
    archive.number(value.part);
    archive.flag(value.last);
    wall_time_field(archive, value.knowledge_start);
    archive.list(value.records);
}

template <class Archive>
void fields(Archive& archive, core::server_observation& value)
{
    archive.name(value.server);
    archive.number(value.succeeded);
    archive.number(value.failed);
    archive.number(value.timed_out);
    archive.duration(value.mean_latency);
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
    archive.enumerator(value.state, core::server_state::path_cut);
    archive.duration(value.lease);
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
    archive.duration(value.lease);
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
    archive.number(value.held_version);
}

template <class Archive>
void fields(Archive& archive, core::document_part& value)
{
    archive.number(value.version);
    archive.number(value.index, max_document_parts - 1);
    archive.number(value.count, max_document_parts);
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

/// Reads the body of a message with the variant index `type`.
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
                                               const core::message& message)
{
    core::instance_id sender_copy = sender;
    core::message message_copy = message;
    std::uint32_t format = core::message_format;
    auto type = static_cast<std::uint32_t>(message.index());
    writer envelope;
    envelope.number(format);
    envelope.name(sender_copy.name);
    envelope.number(sender_copy.incarnation);
    envelope.number(type);
    std::visit(
        [&envelope](auto& body)
        {
            envelope.object(body);
        },
        message_copy);
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
    reader envelope_reader(envelope);
    received_message received;
    std::uint32_t format_number = 0;
    std::uint32_t type = 0;
    envelope_reader.number(format_number);
    envelope_reader.name(received.sender.name);
    envelope_reader.number(received.sender.incarnation);
    envelope_reader.number(type);
    if (!envelope_reader.is_complete() ||
        !read_body(type, body, received.message))
    {
        return make_error_code(result_code::peer_message_invalid);
    }
    return received;
}

std::string_view type_name(std::size_t index) noexcept
{
    return index < type_names.size() ? type_names.at(index) : "unknown";
}

std::string_view type_name(const core::message& message) noexcept
{
    return type_name(message.index());
}

} // namespace medlarbarrow::net
