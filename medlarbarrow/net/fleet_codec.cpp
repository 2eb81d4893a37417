#include <medlarbarrow/net/fleet_codec.hpp>
#include <nlohmann/json.hpp>

namespace medlarbarrow::net
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

/// Kind of a message, its first element. The numbers must not change, because
/// instances of two releases run side by side during a replacement.
enum class message_kind : std::uint8_t
{
    gossip = 1,
    admit_call = 2,
    admit_reply = 3,
    place_call = 4,
    place_reply = 5,
    done_call = 6,
    done_reply = 7,
    subscribe = 8,
    source_update = 9,
    shard_crash_report = 10,
    crash_suspects = 11,
    stream_call = 12,
    stream_reply = 13
};

/// Kind of the answer in a place_reply. The numbers must not change either.
enum class answer_kind : std::uint8_t
{
    placed = 1,
    queued = 2,
    refused = 3
};

/// Longer ages count as this one: a day.
constexpr std::uint64_t max_age_ms = 86'400'000;

std::int64_t to_ms(core::duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

/// Loads are sent in percent.
constexpr double percent = 100.0;

std::uint32_t to_percent(double load)
{
    return static_cast<std::uint32_t>(load * percent);
}

core::duration from_ms(const json& value)
{
    return milliseconds(value.get<std::uint32_t>());
}

/// Reads an element that messages of earlier releases lack.
template <class Value>
Value optional_element(const json& elements, std::size_t index)
{
    return index < elements.size() ? elements[index].get<Value>() : Value{};
}

/// Reads an unsigned number that messages of earlier releases lack. Throws for
/// a value of another type, which get() would convert.
std::uint64_t optional_unsigned(const json& elements, std::size_t index)
{
    if (index >= elements.size())
    {
        return 0;
    }
    if (!elements[index].is_number_unsigned())
    {
        throw std::out_of_range("unsigned number");
    }
    return elements[index].get<std::uint64_t>();
}

/// Reads a time in milliseconds that messages of earlier releases lack.
core::duration optional_age(const json& elements, std::size_t index)
{
    return milliseconds(std::min<std::uint64_t>(
        optional_unsigned(elements, index), max_age_ms));
}

/// Starts the array of a message with its kind.
json header(message_kind kind)
{
    return json::array({static_cast<int>(kind)});
}

json encode(const core::gossip& message)
{
    json members = json::array();
    for (const core::member_report& report : message.members)
    {
        // Four elements per report in one flat array: an array per report
        // would take more bytes.
        members.push_back(report.address);
        members.push_back(report.incarnation);
        members.push_back(report.age.count());
        members.push_back(report.left);
    }
    json elements = header(message_kind::gossip);
    elements.push_back(message.incarnation);
    elements.push_back(message.position.revision);
    elements.push_back(message.wants_reply);
    elements.push_back(message.leaving);
    elements.push_back(std::move(members));
    const bool has_era = message.position.era != 0;
    if (!message.leaving_runs.empty() || has_era)
    {
        json runs = json::array();
        for (const core::leaving_run& run : message.leaving_runs)
        {
            runs.push_back(run.server);
            runs.push_back(run.started);
        }
        elements.push_back(std::move(runs));
    }
    if (has_era)
    {
        elements.push_back(message.position.era);
        elements.push_back(message.carried_digest);
    }
    return elements;
}

json encode(const core::admit_call& message)
{
    json elements = header(message_kind::admit_call);
    elements.push_back(message.number);
    elements.push_back(message.account);
    return elements;
}

json encode(const core::admit_reply& message)
{
    json elements = header(message_kind::admit_reply);
    elements.push_back(message.number);
    elements.push_back(message.account_exists);
    elements.push_back(message.answer.granted);
    elements.push_back(to_ms(message.answer.retry_after));
    return elements;
}

json encode(const core::place_call& message)
{
    const core::place_request& request = message.request;
    json elements = header(message_kind::place_call);
    elements.push_back(message.shard.service);
    elements.push_back(request.grant.instance);
    elements.push_back(request.grant.number);
    elements.push_back(request.data_centre);
    elements.push_back(request.work_kind);
    elements.push_back(request.repeatable);
    elements.push_back(request.rank);
    elements.push_back(request.repeat);
    elements.push_back(to_ms(request.time_to_objective));
    elements.push_back(to_ms(request.time_to_deadline));
    elements.push_back(request.excluded_servers);
    elements.push_back(request.content_digest);
    elements.push_back(message.shard.number);
    // Few bodies are still arriving, so it takes bytes only then.
    if (request.body_arriving)
    {
        elements.push_back(request.body_arriving);
    }
    return elements;
}

json encode(const core::place_reply& message)
{
    json elements = header(message_kind::place_reply);
    elements.push_back(message.number);
    if (const auto* placed = std::get_if<core::placed>(&message.answer))
    {
        elements.push_back(static_cast<int>(answer_kind::placed));
        elements.push_back(placed->server);
        elements.push_back(to_ms(placed->typical_duration));
        elements.push_back(to_ms(placed->overdue_after));
    }
    else if (const auto* refused =
                 std::get_if<core::place_refused>(&message.answer))
    {
        elements.push_back(static_cast<int>(answer_kind::refused));
        elements.push_back(static_cast<int>(refused->code));
        elements.push_back(to_ms(refused->retry_after));
    }
    else
    {
        elements.push_back(static_cast<int>(answer_kind::queued));
    }
    elements.push_back(message.shard);
    elements.push_back(to_percent(message.load));
    return elements;
}

json encode(const core::done_call& message)
{
    json elements = header(message_kind::done_call);
    elements.push_back(message.shard.service);
    elements.push_back(message.grant.instance);
    elements.push_back(message.grant.number);
    elements.push_back(static_cast<int>(message.outcome));
    elements.push_back(to_ms(message.latency));
    elements.push_back(message.shard.number);
    // Few sends end with a notice, so it takes bytes only then. What follows it
    // needs an empty one in its place.
    const bool has_times =
        to_ms(message.connection_age) > 0 || to_ms(message.age) > 0;
    if (!message.notice.is_empty() || has_times)
    {
        elements.push_back(message.notice.server);
        elements.push_back(message.notice.started);
        elements.push_back(message.notice.leaving);
        // Rounded up, so that the owner does not choose the server too early.
        elements.push_back(
            std::chrono::ceil<milliseconds>(message.notice.retry_after)
                .count());
    }
    if (has_times)
    {
        elements.push_back(to_ms(message.connection_age));
        elements.push_back(to_ms(message.age));
    }
    return elements;
}

json encode(const core::done_reply& message)
{
    json elements = header(message_kind::done_reply);
    elements.push_back(message.number);
    elements.push_back(message.shard);
    return elements;
}

json encode(const core::stream_call& message)
{
    json elements = header(message_kind::stream_call);
    elements.push_back(message.shard.service);
    elements.push_back(message.shard.number);
    elements.push_back(message.grant.instance);
    elements.push_back(message.grant.number);
    elements.push_back(message.unread);
    return elements;
}

json encode(const core::stream_reply& message)
{
    json elements = header(message_kind::stream_reply);
    elements.push_back(message.number);
    return elements;
}

json encode(const core::shard_crash_report& message)
{
    json elements = header(message_kind::shard_crash_report);
    elements.push_back(message.shard.service);
    elements.push_back(message.shard.number);
    elements.push_back(message.crash.content_digest);
    elements.push_back(message.crash.server);
    elements.push_back(to_ms(message.crash.age));
    return elements;
}

json encode(const core::crash_suspects& message)
{
    json elements = header(message_kind::crash_suspects);
    for (const core::crash_suspect& suspect : message.suspects)
    {
        // The digest, then two elements for each server.
        json record = json::array({suspect.content_digest});
        for (const core::suspected_crash& crash : suspect.crashes)
        {
            record.push_back(crash.server);
            record.push_back(to_ms(crash.age));
        }
        elements.push_back(std::move(record));
    }
    return elements;
}

json encode(const core::subscribe& message)
{
    json elements = header(message_kind::subscribe);
    elements.push_back(message.incarnation);
    return elements;
}

json encode(const core::source_update& message)
{
    json elements = header(message_kind::source_update);
    elements.push_back(message.position.revision);
    elements.push_back(message.age.count());
    elements.push_back(message.base.revision);
    elements.push_back(message.changes);
    if (message.position.era != 0)
    {
        elements.push_back(message.position.era);
        elements.push_back(message.base.era);
    }
    return elements;
}

core::source_update decode_source_update(const json& elements)
{
    core::source_update message;
    message.position = {optional_unsigned(elements, 5),
                        elements.at(1).get<std::uint64_t>()};
    message.age = milliseconds(elements.at(2).get<std::uint32_t>());
    message.base = {optional_unsigned(elements, 6),
                    elements.at(3).get<std::uint64_t>()};
    message.changes = elements.at(4).get<std::string>();
    return message;
}

core::gossip decode_gossip(const json& elements)
{
    core::gossip message;
    message.incarnation = elements.at(1).get<std::uint64_t>();
    message.position = {optional_unsigned(elements, 7),
                        elements.at(2).get<std::uint64_t>()};
    message.carried_digest = optional_unsigned(elements, 8);
    message.wants_reply = elements.at(3).get<bool>();
    message.leaving = elements.at(4).get<bool>();
    const json& members = elements.at(5);
    for (std::size_t index = 0; index + 3 < members.size(); index += 4)
    {
        message.members.push_back(
            {members.at(index).get<core::instance_address>(),
             members.at(index + 1).get<std::uint64_t>(),
             milliseconds(members.at(index + 2).get<std::uint32_t>()),
             members.at(index + 3).get<bool>()});
    }
    if (elements.size() > 6)
    {
        const json& runs = elements.at(6);
        for (std::size_t index = 0; index + 1 < runs.size(); index += 2)
        {
            message.leaving_runs.push_back(
                {runs.at(index).get<std::string>(),
                 optional_unsigned(runs, index + 1)});
        }
    }
    return message;
}

core::place_call decode_place_call(const json& elements)
{
    core::place_call message;
    message.shard.service = elements.at(1).get<std::string>();
    core::place_request& request = message.request;
    request.grant.instance = elements.at(2).get<std::uint64_t>();
    request.grant.number = elements.at(3).get<std::uint64_t>();
    request.data_centre = elements.at(4).get<std::string>();
    request.work_kind = elements.at(5).get<std::uint32_t>();
    request.repeatable = elements.at(6).get<bool>();
    request.rank = elements.at(7).get<std::uint32_t>();
    request.repeat = elements.at(8).get<bool>();
    request.time_to_objective = from_ms(elements.at(9));
    request.time_to_deadline = from_ms(elements.at(10));
    request.excluded_servers = elements.at(11).get<std::vector<std::string>>();
    request.content_digest = elements.at(12).get<std::uint64_t>();
    message.shard.number = optional_element<std::uint32_t>(elements, 13);
    request.body_arriving = optional_element<bool>(elements, 14);
    return message;
}

core::place_reply decode_place_reply(const json& elements)
{
    core::place_reply message;
    message.number = elements.at(1).get<std::uint64_t>();
    std::size_t next = 3;
    switch (static_cast<answer_kind>(elements.at(2).get<int>()))
    {
    case answer_kind::placed:
        message.answer =
            core::placed{elements.at(3).get<std::string>(),
                         from_ms(elements.at(4)), from_ms(elements.at(5))};
        next = 6;
        break;
    case answer_kind::refused:
        message.answer = core::place_refused{
            static_cast<core::result_code>(elements.at(3).get<int>()),
            from_ms(elements.at(4))};
        next = 5;
        break;
    case answer_kind::queued:
        message.answer = core::queued{};
        break;
    }
    message.shard = optional_element<std::uint32_t>(elements, next);
    message.load =
        optional_element<std::uint32_t>(elements, next + 1) / percent;
    return message;
}

core::done_call decode_done_call(const json& elements)
{
    core::done_call message;
    message.shard.service = elements.at(1).get<std::string>();
    message.grant.instance = elements.at(2).get<std::uint64_t>();
    message.grant.number = elements.at(3).get<std::uint64_t>();
    const int outcome = elements.at(4).get<int>();
    if (outcome < 0 ||
        outcome > static_cast<int>(core::send_outcome::cancelled))
    {
        throw std::out_of_range("outcome");
    }
    message.outcome = static_cast<core::send_outcome>(outcome);
    message.latency = from_ms(elements.at(5));
    message.shard.number = optional_element<std::uint32_t>(elements, 6);
    message.notice.server = optional_element<std::string>(elements, 7);
    message.notice.started = optional_unsigned(elements, 8);
    message.notice.leaving = optional_element<bool>(elements, 9);
    constexpr std::uint64_t max_hold_ms =
        std::chrono::duration_cast<milliseconds>(core::max_hold).count();
    message.notice.retry_after =
        milliseconds(std::min(optional_unsigned(elements, 10), max_hold_ms));
    message.connection_age = optional_age(elements, 11);
    message.age = optional_age(elements, 12);
    return message;
}

core::shard_crash_report decode_shard_crash_report(const json& elements)
{
    return {{elements.at(1).get<std::string>(),
             elements.at(2).get<std::uint32_t>()},
            {elements.at(3).get<std::uint64_t>(),
             elements.at(4).get<std::string>(), optional_age(elements, 5)}};
}

core::crash_suspects decode_crash_suspects(const json& elements)
{
    core::crash_suspects message;
    for (std::size_t index = 1; index < elements.size(); ++index)
    {
        const json& record = elements.at(index);
        core::crash_suspect suspect;
        suspect.content_digest = record.at(0).get<std::uint64_t>();
        for (std::size_t next = 1; next + 1 < record.size(); next += 2)
        {
            suspect.crashes.push_back({record.at(next).get<std::string>(),
                                       optional_age(record, next + 1)});
        }
        message.suspects.push_back(std::move(suspect));
    }
    return message;
}

/// Decodes a message by its kind. Throws if an element is missing or has a
/// wrong type, and for an unknown kind or outcome.
core::fleet_message decode(const json& elements)
{
    switch (static_cast<message_kind>(elements.at(0).get<int>()))
    {
    case message_kind::gossip:
        return decode_gossip(elements);
    case message_kind::admit_call:
        return core::admit_call{elements.at(1).get<std::uint64_t>(),
                                elements.at(2).get<std::string>()};
    case message_kind::admit_reply:
        return core::admit_reply{
            elements.at(1).get<std::uint64_t>(),
            elements.at(2).get<bool>(),
            {elements.at(3).get<bool>(), from_ms(elements.at(4))}};
    case message_kind::place_call:
        return decode_place_call(elements);
    case message_kind::place_reply:
        return decode_place_reply(elements);
    case message_kind::done_call:
        return decode_done_call(elements);
    case message_kind::done_reply:
        return core::done_reply{elements.at(1).get<std::uint64_t>(),
                                optional_element<std::uint32_t>(elements, 2)};
    case message_kind::stream_call:
        return core::stream_call{{elements.at(1).get<std::string>(),
                                  elements.at(2).get<std::uint32_t>()},
                                 {elements.at(3).get<std::uint64_t>(),
                                  elements.at(4).get<std::uint64_t>()},
                                 elements.at(5).get<bool>()};
    case message_kind::stream_reply:
        return core::stream_reply{elements.at(1).get<std::uint64_t>()};
    case message_kind::shard_crash_report:
        return decode_shard_crash_report(elements);
    case message_kind::crash_suspects:
        return decode_crash_suspects(elements);
    case message_kind::subscribe:
        return core::subscribe{elements.at(1).get<std::uint64_t>()};
    case message_kind::source_update:
        return decode_source_update(elements);
    }
    throw std::out_of_range("kind");
}

} // namespace

std::vector<std::uint8_t> encode_message(const core::fleet_message& message)
{
    return std::visit(
        [](const auto& typed_message)
        {
            return json::to_cbor(encode(typed_message));
        },
        message);
}

core::result<core::fleet_message>
decode_message(std::span<const std::uint8_t> bytes)
{
    const std::error_code invalid =
        core::make_error_code(core::result_code::peer_message_invalid);
    // nlohmann::json reports missing elements and wrong types by exceptions.
    // The parser throws too, for a claim of more elements than can exist.
    try
    {
        const json elements =
            json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (!elements.is_array() || elements.empty())
        {
            return invalid;
        }
        return decode(elements);
    }
    catch (const std::exception&)
    {
        return invalid;
    }
}

} // namespace medlarbarrow::net
