/// Reads JSON objects member by member and collects every problem with its
/// path. The parsers of settings and configuration documents use it.
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

/// Collects the problems of one input. Only the number of problems after the
/// first 1000 is kept, so that damaged input cannot exhaust the memory.
class problem_list
{
public:
    void add(std::string path, std::string message);

    bool empty() const;

    /// Returns the problems with `code` as the code of the input, and clears
    /// the list.
    problems take(std::error_code code);

private:
    std::vector<problem> items;
    std::size_t omitted = 0;
};

/// Parses JSON with comments. Returns no value and reports a problem if the
/// text is too large, is nested too deeply, is not JSON or contains a member
/// twice.
std::optional<nlohmann::json> parse_json(std::string_view text,
                                         std::size_t max_bytes,
                                         problem_list& diagnostics);

/// Condition on a string member. A problem quotes `accepted` but never the
/// string itself, which could be an API key pasted into the wrong place.
struct text_rule
{
    bool (*accepts)(std::string_view);
    std::string_view accepted;
};

extern const text_rule name_rule;    ///< name of a configured object
extern const text_rule address_rule; ///< IPv4 or IPv6 address
extern const text_rule file_rule;    ///< path of a file

/// Whether an object must contain a member.
enum class presence
{
    optional, ///< a missing member keeps its default
    required
};

/// Name in JSON and value of an enumerator.
template <class Enum>
using choice = std::pair<std::string_view, Enum>;

/// Reads the members of one JSON object. An invalid value leaves its target
/// unchanged. finish() must be called after the last member is read: it
/// reports every member that was not read as unknown.
class object_reader
{
public:
    object_reader(const nlohmann::json& source,
                  std::string path,
                  problem_list& diagnostics);

    /// Reads a string that `rule` accepts.
    void text(std::string_view member,
              std::string& target,
              const text_rule& rule,
              presence requirement);

    void flag(std::string_view member, bool& target, presence requirement);

    /// Reads an integer within the given range and that of the type.
    template <std::unsigned_integral Value>
    void unsigned_integer(std::string_view member,
                          Value& target,
                          std::uint64_t min_value,
                          std::uint64_t max_value,
                          presence requirement)
    {
        const std::uint64_t effective_max = std::min<std::uint64_t>(
            max_value, std::numeric_limits<Value>::max());
        if (const auto value = this->unsigned_in_range(
                member, min_value, effective_max, requirement))
        {
            target = static_cast<Value>(*value);
        }
    }

    void milliseconds(std::string_view member,
                      std::chrono::milliseconds& target,
                      std::uint64_t min_value,
                      std::uint64_t max_value,
                      presence requirement);

    /// Reads a number. True if the member is present and in range.
    bool real(std::string_view member,
              double& target,
              double min_value,
              double max_value,
              presence requirement);

    /// Reads the name of an enumerator.
    template <class Enum>
    void one_of(std::string_view member,
                Enum& target,
                std::span<const choice<Enum>> choices,
                presence requirement)
    {
        const std::string* value_text = this->text_value(member, requirement);
        if (value_text == nullptr)
        {
            return;
        }
        std::string accepted;
        for (const auto& [name, value] : choices)
        {
            if (*value_text == name)
            {
                target = value;
                return;
            }
            accepted += accepted.empty() ? "" : ", ";
            accepted += name;
        }
        this->report(member, fmt::format("expected one of {}", accepted));
    }

    /// Calls read(object_reader&) for the object; false if it is missing.
    template <class Read>
    bool object(std::string_view member, Read read, presence requirement)
    {
        const nlohmann::json* value = this->find(member, requirement);
        if (value == nullptr)
        {
            return false;
        }
        object_reader inner(*value, this->path_of(member), this->diagnostics);
        read(inner);
        inner.finish();
        return true;
    }

    /// Calls read(object_reader&) for each object of the array.
    template <class Read>
    void objects(std::string_view member,
                 std::size_t max_items,
                 Read read,
                 presence requirement)
    {
        const nlohmann::json* value =
            this->array(member, max_items, requirement);
        for (std::size_t index = 0; value != nullptr && index < value->size();
             ++index)
        {
            object_reader inner(
                (*value)[index],
                fmt::format("{}/{}", this->path_of(member), index),
                this->diagnostics);
            read(inner);
            inner.finish();
        }
    }

    /// Appends the strings of an optional array that `rule` accepts.
    void texts(std::string_view member,
               std::vector<std::string>& target,
               std::size_t max_items,
               const text_rule& rule);

    /// True if the member is present, valid or not.
    bool has(std::string_view member) const;

    /// Reports a problem of a member, or of the object if `member` is empty.
    void report(std::string_view member, std::string message);

    /// Makes finish() accept members that were not read.
    void ignore_unknown_members();

    /// Reports the members that were not read.
    void finish();

private:
    // These report a problem and return null or no value if the member is
    // missing although it is required, or has the wrong type, size or range.
    const nlohmann::json* find(std::string_view member, presence requirement);
    const nlohmann::json*
    array(std::string_view member, std::size_t max_items, presence requirement);
    const std::string* text_value(std::string_view member,
                                  presence requirement);
    std::optional<std::uint64_t> unsigned_in_range(std::string_view member,
                                                   std::uint64_t min_value,
                                                   std::uint64_t max_value,
                                                   presence requirement);
    std::string path_of(std::string_view member) const;

    const nlohmann::json& source;
    std::string path;
    problem_list& diagnostics;
    std::vector<std::string_view> accepted_members;
    bool unknown_members_ignored = false;
};

} // namespace medlarbarrow::config
