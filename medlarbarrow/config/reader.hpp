/// Reads JSON objects member by member and collects every problem with its
/// path. Settings and configuration documents are read through it.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <fmt/format.h>
#include <limits>
#include <medlarbarrow/config/problems.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarbarrow::config
{

/// Problems of one reading. Beyond the first thousand only their number is
/// kept, so that damaged input cannot use up the memory.
class problem_list
{
public:
    void add(std::string path, std::string message);

    bool empty() const;

    /// The problems, with `code` as the code of the whole.
    problems take(std::error_code code);

private:
    std::vector<problem> items;
    std::size_t omitted = 0;
};

/// Parses JSON with comments. Reports text that is too large, nested too
/// deeply, not JSON or that gives a member twice; the result is then empty.
std::optional<nlohmann::json>
parse_json(std::string_view text, std::size_t max_bytes, problem_list& found);

/// Condition on a text member. Problems name `accepted`, never the text
/// itself, because it could be a key that was pasted into the wrong place.
struct text_rule
{
    bool (*accepts)(std::string_view);
    std::string_view accepted;
};

extern const text_rule name_rule;    ///< names of configured objects
extern const text_rule address_rule; ///< IPv4 or IPv6 address
extern const text_rule file_rule;    ///< path of a file

enum class presence
{
    optional, ///< a missing member keeps its default
    required
};

/// Name of an enumerator in JSON.
template <class Enum>
using choice = std::pair<std::string_view, Enum>;

/// Reads the members of one JSON object. A problem leaves the target as it
/// was. After the last member, finish() reports the members nobody asked for.
class object_reader
{
public:
    object_reader(const nlohmann::json& source,
                  std::string path,
                  problem_list& found);

    void text(std::string_view member,
              std::string& target,
              const text_rule& rule,
              presence needed);

    void flag(std::string_view member, bool& target, presence needed);

    template <std::unsigned_integral Value>
    void whole(std::string_view member,
               Value& target,
               std::uint64_t least,
               std::uint64_t greatest,
               presence needed)
    {
        const std::uint64_t limit = std::min<std::uint64_t>(
            greatest, std::numeric_limits<Value>::max());
        if (const auto value = this->whole_within(member, least, limit, needed))
        {
            target = static_cast<Value>(*value);
        }
    }

    void milliseconds(std::string_view member,
                      std::chrono::milliseconds& target,
                      std::uint64_t least,
                      std::uint64_t greatest,
                      presence needed);

    /// True when the member was given and is in range.
    bool real(std::string_view member,
              double& target,
              double least,
              double greatest,
              presence needed);

    template <class Enum>
    void one_of(std::string_view member,
                Enum& target,
                std::span<const choice<Enum>> choices,
                presence needed)
    {
        const std::string* given = this->text_value(member, needed);
        if (given == nullptr)
        {
            return;
        }
        std::string accepted;
        for (const auto& [name, value] : choices)
        {
            if (*given == name)
            {
                target = value;
                return;
            }
            accepted += accepted.empty() ? "" : ", ";
            accepted += name;
        }
        this->report(member, fmt::format("expected one of {}", accepted));
    }

    /// Calls read(object_reader&) for the object; false when it is missing.
    template <class Read>
    bool object(std::string_view member, Read read, presence needed)
    {
        const nlohmann::json* value = this->find(member, needed);
        if (value == nullptr)
        {
            return false;
        }
        object_reader inner(*value, this->path_of(member), this->found);
        read(inner);
        inner.finish();
        return true;
    }

    /// Calls read(object_reader&) for each object of the array.
    template <class Read>
    void objects(std::string_view member,
                 std::size_t max_items,
                 Read read,
                 presence needed)
    {
        const nlohmann::json* value = this->array(member, max_items, needed);
        for (std::size_t index = 0; value != nullptr && index < value->size();
             ++index)
        {
            object_reader inner(
                (*value)[index],
                fmt::format("{}/{}", this->path_of(member), index),
                this->found);
            read(inner);
            inner.finish();
        }
    }

    void texts(std::string_view member,
               std::vector<std::string>& target,
               std::size_t max_items,
               const text_rule& rule);

    /// True when the member is given, whether it is valid or not.
    bool has(std::string_view member) const;

    /// Reports a problem of a member, or of the object when it is empty.
    void report(std::string_view member, std::string message);

    /// Accepts members that were not asked for.
    void ignore_others();

    void finish();

private:
    const nlohmann::json* find(std::string_view member, presence needed);
    const nlohmann::json*
    array(std::string_view member, std::size_t max_items, presence needed);
    const std::string* text_value(std::string_view member, presence needed);
    std::optional<std::uint64_t> whole_within(std::string_view member,
                                              std::uint64_t least,
                                              std::uint64_t greatest,
                                              presence needed);
    std::string path_of(std::string_view member) const;

    const nlohmann::json& source;
    std::string path;
    problem_list& found;
    std::vector<std::string_view> asked;
    bool others_ignored = false;
};

} // namespace medlarbarrow::config
