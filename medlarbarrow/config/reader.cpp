#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <medlarbarrow/config/reader.hpp>
#include <set>

namespace medlarbarrow::config
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_problems = 1000;

/// The deepest valid input, a key of an account, is nested six levels deep.
constexpr std::size_t max_depth = 32;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_file_bytes = 1024;
constexpr std::size_t max_shown_name_bytes = 80;

// One segment of a JSON pointer. Long names, which damaged input may contain,
// are truncated.
std::string pointer_segment(std::string_view name)
{
    std::string segment = "/";
    for (const char character : name.substr(0, max_shown_name_bytes))
    {
        switch (character)
        {
        case '~':
            segment += "~0";
            break;
        case '/':
            segment += "~1";
            break;
        default:
            segment += character;
        }
    }
    return segment;
}

/// Checks nesting depth, repeated members and syntax before a tree is built.
/// nlohmann/json would silently keep the last of two members with one name.
class structure_check : public nlohmann::json_sax<json>
{
public:
    explicit structure_check(problem_list& sink) : diagnostics(sink) {}

    bool null() override
    {
        return this->count_value();
    }
    bool boolean(bool /*unused*/) override
    {
        return this->count_value();
    }
    bool number_integer(number_integer_t /*unused*/) override
    {
        return this->count_value();
    }
    bool number_unsigned(number_unsigned_t /*unused*/) override
    {
        return this->count_value();
    }
    bool number_float(number_float_t /*unused*/,
                      const string_t& /*unused*/) override
    {
        return this->count_value();
    }
    bool string(string_t& /*unused*/) override
    {
        return this->count_value();
    }
    bool binary(binary_t& /*unused*/) override
    {
        return this->count_value();
    }
    bool start_object(std::size_t /*unused*/) override
    {
        return this->open_level();
    }
    bool start_array(std::size_t /*unused*/) override
    {
        return this->open_level();
    }
    bool end_object() override
    {
        this->levels.pop_back();
        return true;
    }
    bool end_array() override
    {
        this->levels.pop_back();
        return true;
    }

    bool key(string_t& name) override
    {
        level& current = this->levels.back();
        current.member = name;
        if (!current.members.insert(name).second)
        {
            this->diagnostics.add(this->path(), "the member is given twice");
        }
        return true;
    }

    bool parse_error(std::size_t position,
                     const std::string& /*last_token*/,
                     const json::exception& /*error*/) override
    {
        this->diagnostics.add(
            this->path(), fmt::format("not valid JSON at byte {}", position));
        return false;
    }

private:
    struct level
    {
        std::set<std::string, std::less<>> members;
        std::string member; ///< the last one read; empty in an array
        std::size_t items = 0;
    };

    // Counts a value, so that path() can name the index of an array element.
    bool count_value()
    {
        if (!this->levels.empty())
        {
            ++this->levels.back().items;
        }
        return true;
    }

    bool open_level()
    {
        this->count_value();
        if (this->levels.size() == max_depth)
        {
            this->diagnostics.add(
                this->path(),
                fmt::format("nested more than {} levels deep", max_depth));
            return false;
        }
        this->levels.emplace_back();
        return true;
    }

    // JSON pointer to the value that is being read.
    std::string path() const
    {
        std::string pointer;
        for (const level& current : this->levels)
        {
            if (!current.members.empty())
            {
                pointer += pointer_segment(current.member);
            }
            else if (current.items > 0)
            {
                pointer += fmt::format("/{}", current.items - 1);
            }
        }
        return pointer;
    }

    problem_list& diagnostics;
    std::vector<level> levels;
};

bool is_name(std::string_view text)
{
    const auto allowed = [](char character)
    {
        return (character >= 'a' && character <= 'z') ||
               (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '-' ||
               character == '_' || character == '.';
    };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_address(std::string_view text)
{
    boost::system::error_code failure;
    // No textual IPv6 address is longer than 45 characters.
    if (text.size() > 45)
    {
        return false;
    }
    boost::asio::ip::make_address(std::string(text), failure);
    return !failure;
}

bool is_file(std::string_view text)
{
    return !text.empty() && text.size() <= max_file_bytes &&
           text.find('\0') == std::string_view::npos;
}

} // namespace

const text_rule name_rule{is_name, "1 to 64 letters, digits, '-', '_' or '.'"};
const text_rule address_rule{is_address, "an IPv4 or IPv6 address"};
const text_rule file_rule{is_file, "a file path of 1 to 1024 bytes"};

void problem_list::add(std::string path, std::string message)
{
    if (this->items.size() == max_problems)
    {
        ++this->omitted;
        return;
    }
    this->items.push_back({std::move(path), std::move(message)});
}

bool problem_list::empty() const
{
    return this->items.empty();
}

problems problem_list::take(std::error_code code)
{
    if (this->omitted > 0)
    {
        this->items.push_back(
            {"", fmt::format("{} more problems were omitted", this->omitted)});
        this->omitted = 0;
    }
    return {code, std::exchange(this->items, {})};
}

std::optional<json> parse_json(std::string_view text,
                               std::size_t max_bytes,
                               problem_list& diagnostics)
{
    if (text.size() > max_bytes)
    {
        diagnostics.add("", fmt::format("{} bytes; at most {} are accepted",
                                        text.size(), max_bytes));
        return std::nullopt;
    }
    problem_list structure_problems;
    structure_check check(structure_problems);
    json::sax_parse(text.begin(), text.end(), &check,
                    json::input_format_t::json, true, true);
    if (!structure_problems.empty())
    {
        for (problem& fault : structure_problems.take({}).items)
        {
            diagnostics.add(std::move(fault.path), std::move(fault.message));
        }
        return std::nullopt;
    }
    json parsed = json::parse(text.begin(), text.end(), nullptr, false, true);
    if (parsed.is_discarded())
    {
        diagnostics.add("", "not valid JSON");
        return std::nullopt;
    }
    return parsed;
}

object_reader::object_reader(const json& object_value,
                             std::string object_path,
                             problem_list& sink)
    : source(object_value), path(std::move(object_path)), diagnostics(sink)
{
    if (!this->source.is_object())
    {
        this->report("", fmt::format("expected an object, not {}",
                                     this->source.type_name()));
    }
}

std::string object_reader::path_of(std::string_view member) const
{
    return member.empty() ? this->path : this->path + pointer_segment(member);
}

bool object_reader::has(std::string_view member) const
{
    return this->source.is_object() && this->source.contains(member);
}

void object_reader::report(std::string_view member, std::string message)
{
    this->diagnostics.add(this->path_of(member), std::move(message));
}

const json* object_reader::find(std::string_view member, presence requirement)
{
    this->accepted_members.push_back(member);
    if (!this->source.is_object())
    {
        return nullptr;
    }
    const auto value = this->source.find(member);
    if (value != this->source.end())
    {
        return &*value;
    }
    if (requirement == presence::required)
    {
        this->report(member, "the member is required");
    }
    return nullptr;
}

const json* object_reader::array(std::string_view member,
                                 std::size_t max_items,
                                 presence requirement)
{
    const json* value = this->find(member, requirement);
    if (value == nullptr)
    {
        return nullptr;
    }
    if (!value->is_array())
    {
        this->report(member, fmt::format("expected an array, not {}",
                                         value->type_name()));
        return nullptr;
    }
    if (value->size() > max_items)
    {
        this->report(member, fmt::format("{} items; at most {} are accepted",
                                         value->size(), max_items));
        return nullptr;
    }
    return value;
}

const std::string* object_reader::text_value(std::string_view member,
                                             presence requirement)
{
    const json* value = this->find(member, requirement);
    if (value == nullptr)
    {
        return nullptr;
    }
    if (!value->is_string())
    {
        this->report(member, fmt::format("expected a string, not {}",
                                         value->type_name()));
        return nullptr;
    }
    return value->get_ptr<const std::string*>();
}

void object_reader::text(std::string_view member,
                         std::string& target,
                         const text_rule& rule,
                         presence requirement)
{
    const std::string* value = this->text_value(member, requirement);
    if (value == nullptr)
    {
        return;
    }
    if (!rule.accepts(*value))
    {
        this->report(member, fmt::format("expected {}", rule.accepted));
        return;
    }
    target = *value;
}

void object_reader::flag(std::string_view member,
                         bool& target,
                         presence requirement)
{
    const json* value = this->find(member, requirement);
    if (value == nullptr)
    {
        return;
    }
    if (!value->is_boolean())
    {
        this->report(member, fmt::format("expected true or false, not {}",
                                         value->type_name()));
        return;
    }
    target = value->get<bool>();
}

// Numbers with a fraction or an exponent are rejected even if their value is
// an integer, so that the conversion cannot change a number.
std::optional<std::uint64_t>
object_reader::unsigned_in_range(std::string_view member,
                                 std::uint64_t min_value,
                                 std::uint64_t max_value,
                                 presence requirement)
{
    const json* value = this->find(member, requirement);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    const bool in_range = value->is_number_unsigned() &&
                          value->get<std::uint64_t>() >= min_value &&
                          value->get<std::uint64_t>() <= max_value;
    if (!in_range)
    {
        this->report(member,
                     fmt::format("expected a whole number from {} to {}",
                                 min_value, max_value));
        return std::nullopt;
    }
    return value->get<std::uint64_t>();
}

void object_reader::milliseconds(std::string_view member,
                                 std::chrono::milliseconds& target,
                                 std::uint64_t min_value,
                                 std::uint64_t max_value,
                                 presence requirement)
{
    if (const auto value =
            this->unsigned_in_range(member, min_value, max_value, requirement))
    {
        target = std::chrono::milliseconds(static_cast<std::int64_t>(*value));
    }
}

bool object_reader::real(std::string_view member,
                         double& target,
                         double min_value,
                         double max_value,
                         presence requirement)
{
    const json* value = this->find(member, requirement);
    if (value == nullptr)
    {
        return false;
    }
    const bool in_range = value->is_number() &&
                          value->get<double>() >= min_value &&
                          value->get<double>() <= max_value;
    if (!in_range)
    {
        this->report(member, fmt::format("expected a number from {} to {}",
                                         min_value, max_value));
        return false;
    }
    target = value->get<double>();
    return true;
}

void object_reader::texts(std::string_view member,
                          std::vector<std::string>& target,
                          std::size_t max_items,
                          const text_rule& rule)
{
    const json* value = this->array(member, max_items, presence::optional);
    for (std::size_t index = 0; value != nullptr && index < value->size();
         ++index)
    {
        const json& element = (*value)[index];
        if (!element.is_string() ||
            !rule.accepts(element.get_ref<const std::string&>()))
        {
            this->diagnostics.add(
                fmt::format("{}/{}", this->path_of(member), index),
                fmt::format("expected a string: {}", rule.accepted));
            continue;
        }
        target.push_back(element.get<std::string>());
    }
}

void object_reader::ignore_unknown_members()
{
    this->unknown_members_ignored = true;
}

void object_reader::finish()
{
    if (this->unknown_members_ignored || !this->source.is_object())
    {
        return;
    }
    for (const auto& [member, value] : this->source.items())
    {
        if (std::find(this->accepted_members.begin(),
                      this->accepted_members.end(),
                      member) == this->accepted_members.end())
        {
            this->report(member,
                         fmt::format("unknown member; accepted are {}",
                                     fmt::join(this->accepted_members, ", ")));
        }
    }
}

} // namespace medlarbarrow::config
