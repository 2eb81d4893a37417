#include <medlarbarrow/net/fleet_codec.hpp>
#include <nlohmann/json.hpp>

namespace medlarbarrow::net
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

/// First element of each message. Numbers stay as they are: instances of two
/// releases run side by side during a replacement.
enum class kind : std::uint8_t
{
    gossip = 1,
    admit_call = 2,
    admit_reply = 3,
    place_call = 4,
    place_reply = 5,
    done_call = 6,
    done_reply = 7,
    subscribe = 8,
    source_update = 9
};

enum class answer_kind : std::uint8_t
{
    placed = 1,
    queued = 2,
    refused = 3
};

std::int64_t in_ms(core::duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

core::duration from_ms(const json& value)
{
    return milliseconds(value.get<std::uint32_t>());
}

json header(kind which)
{
    return json::array({static_cast<int>(which)});
}

json encode(const core::gossip& message)
{
    json members = json::array();
    for (const core::member_report& item : message.members)
    {
        // Flat, in groups of four: an array for each would cost bytes.
        members.push_back(item.address);
        members.push_back(item.incarnation);
        members.push_back(item.age.count());
        members.push_back(item.left);
    }
    json out = header(kind::gossip);
    out.push_back(message.incarnation);
    out.push_back(message.revision);
    out.push_back(message.wants_reply);
    out.push_back(message.leaving);
    out.push_back(std::move(members));
    return out;
}

json encode(const core::admit_call& message)
{
    json out = header(kind::admit_call);
    out.push_back(message.number);
    out.push_back(message.account);
    return out;
}

json encode(const core::admit_reply& message)
{
    json out = header(kind::admit_reply);
    out.push_back(message.number);
    out.push_back(message.account_exists);
    out.push_back(message.answer.granted);
    out.push_back(in_ms(message.answer.retry_after));
    return out;
}

json encode(const core::place_call& message)
{
    const core::place_request& asked = message.request;
    json out = header(kind::place_call);
    out.push_back(message.service);
    out.push_back(asked.grant.instance);
    out.push_back(asked.grant.number);
    out.push_back(asked.data_centre);
    out.push_back(asked.work_kind);
    out.push_back(asked.repeatable);
    out.push_back(asked.rank);
    out.push_back(asked.repeat);
    out.push_back(in_ms(asked.time_to_objective));
    out.push_back(in_ms(asked.time_to_deadline));
    out.push_back(asked.excluded_servers);
    out.push_back(asked.content_digest);
    return out;
}

json encode(const core::place_reply& message)
{
    json out = header(kind::place_reply);
    out.push_back(message.number);
    if (const auto* granted = std::get_if<core::placed>(&message.answer))
    {
        out.push_back(static_cast<int>(answer_kind::placed));
        out.push_back(granted->server);
        out.push_back(in_ms(granted->typical_duration));
        out.push_back(in_ms(granted->overdue_after));
    }
    else if (const auto* refused =
                 std::get_if<core::place_refused>(&message.answer))
    {
        out.push_back(static_cast<int>(answer_kind::refused));
        out.push_back(static_cast<int>(refused->code));
        out.push_back(in_ms(refused->retry_after));
    }
    else
    {
        out.push_back(static_cast<int>(answer_kind::queued));
    }
    return out;
}

json encode(const core::done_call& message)
{
    json out = header(kind::done_call);
    out.push_back(message.service);
    out.push_back(message.grant.instance);
    out.push_back(message.grant.number);
    out.push_back(static_cast<int>(message.outcome));
    out.push_back(in_ms(message.latency));
    return out;
}

json encode(const core::done_reply& message)
{
    json out = header(kind::done_reply);
    out.push_back(message.number);
    return out;
}

json encode(const core::subscribe& message)
{
    json out = header(kind::subscribe);
    out.push_back(message.incarnation);
    return out;
}

json encode(const core::source_update& message)
{
    json out = header(kind::source_update);
    out.push_back(message.revision);
    out.push_back(message.age.count());
    out.push_back(message.base_revision);
    out.push_back(message.changes);
    return out;
}

core::gossip decode_gossip(const json& in)
{
    core::gossip message;
    message.incarnation = in.at(1).get<std::uint64_t>();
    message.revision = in.at(2).get<std::uint64_t>();
    message.wants_reply = in.at(3).get<bool>();
    message.leaving = in.at(4).get<bool>();
    const json& members = in.at(5);
    for (std::size_t index = 0; index + 3 < members.size(); index += 4)
    {
        message.members.push_back(
            {members.at(index).get<core::instance_address>(),
             members.at(index + 1).get<std::uint64_t>(),
             milliseconds(members.at(index + 2).get<std::uint32_t>()),
             members.at(index + 3).get<bool>()});
    }
    return message;
}

core::place_call decode_place_call(const json& in)
{
    core::place_call message;
    message.service = in.at(1).get<std::string>();
    core::place_request& asked = message.request;
    asked.grant.instance = in.at(2).get<std::uint64_t>();
    asked.grant.number = in.at(3).get<std::uint64_t>();
    asked.data_centre = in.at(4).get<std::string>();
    asked.work_kind = in.at(5).get<std::uint32_t>();
    asked.repeatable = in.at(6).get<bool>();
    asked.rank = in.at(7).get<std::uint32_t>();
    asked.repeat = in.at(8).get<bool>();
    asked.time_to_objective = from_ms(in.at(9));
    asked.time_to_deadline = from_ms(in.at(10));
    asked.excluded_servers = in.at(11).get<std::vector<std::string>>();
    asked.content_digest = in.at(12).get<std::uint64_t>();
    return message;
}

core::place_reply decode_place_reply(const json& in)
{
    core::place_reply message;
    message.number = in.at(1).get<std::uint64_t>();
    switch (static_cast<answer_kind>(in.at(2).get<int>()))
    {
    case answer_kind::placed:
        message.answer = core::placed{in.at(3).get<std::string>(),
                                      from_ms(in.at(4)), from_ms(in.at(5))};
        break;
    case answer_kind::refused:
        message.answer = core::place_refused{
            static_cast<core::result_code>(in.at(3).get<int>()),
            from_ms(in.at(4))};
        break;
    case answer_kind::queued:
        message.answer = core::queued{};
        break;
    }
    return message;
}

core::done_call decode_done_call(const json& in)
{
    core::done_call message;
    message.service = in.at(1).get<std::string>();
    message.grant.instance = in.at(2).get<std::uint64_t>();
    message.grant.number = in.at(3).get<std::uint64_t>();
    const int outcome = in.at(4).get<int>();
    if (outcome < 0 ||
        outcome > static_cast<int>(core::send_outcome::cancelled))
    {
        throw std::out_of_range("outcome");
    }
    message.outcome = static_cast<core::send_outcome>(outcome);
    message.latency = from_ms(in.at(5));
    return message;
}

core::fleet_message decode(const json& in)
{
    switch (static_cast<kind>(in.at(0).get<int>()))
    {
    case kind::gossip:
        return decode_gossip(in);
    case kind::admit_call:
        return core::admit_call{in.at(1).get<std::uint64_t>(),
                                in.at(2).get<std::string>()};
    case kind::admit_reply:
        return core::admit_reply{in.at(1).get<std::uint64_t>(),
                                 in.at(2).get<bool>(),
                                 {in.at(3).get<bool>(), from_ms(in.at(4))}};
    case kind::place_call:
        return decode_place_call(in);
    case kind::place_reply:
        return decode_place_reply(in);
    case kind::done_call:
        return decode_done_call(in);
    case kind::done_reply:
        return core::done_reply{in.at(1).get<std::uint64_t>()};
    case kind::subscribe:
        return core::subscribe{in.at(1).get<std::uint64_t>()};
    case kind::source_update:
        return core::source_update{in.at(1).get<std::uint64_t>(),
                                   milliseconds(in.at(2).get<std::uint32_t>()),
                                   in.at(3).get<std::uint64_t>(),
                                   in.at(4).get<std::string>()};
    }
    throw std::out_of_range("kind");
}

} // namespace

std::vector<std::uint8_t> encode_message(const core::fleet_message& message)
{
    return std::visit(
        [](const auto& chosen)
        {
            return json::to_cbor(encode(chosen));
        },
        message);
}

core::result<core::fleet_message>
decode_message(std::span<const std::uint8_t> bytes)
{
    const std::error_code invalid =
        core::make_error_code(core::result_code::peer_message_invalid);
    const json in = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!in.is_array() || in.empty())
    {
        return invalid;
    }
    // The library reports missing elements and wrong types by exceptions.
    try
    {
        return decode(in);
    }
    catch (const std::exception&)
    {
        return invalid;
    }
}

} // namespace medlarbarrow::net
