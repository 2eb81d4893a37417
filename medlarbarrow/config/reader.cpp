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

/// The deepest valid input, a key of an account, lies six levels down.
constexpr std::size_t max_depth = 32;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_file_bytes = 1024;
constexpr std::size_t shown_name_bytes = 80;

// One segment of a JSON pointer. Names from damaged input are shortened.
std::string pointer_segment(std::string_view name)
{
    std::string segment = "/";
    for (const char letter : name.substr(0, shown_name_bytes))
    {
        switch (letter)
        {
        case '~':
            segment += "~0";
            break;
        case '/':
            segment += "~1";
            break;
        default:
            segment += letter;
        }
    }
    return segment;
}

/// Checks the structure before a tree is built: depth, repeated members and
/// syntax. nlohmann/json would keep the last of two members silently.
class structure_check : public nlohmann::json_sax<json>
{
public:
    explicit structure_check(problem_list& target) : found(target) {}

    bool null() override
    {
        return this->value();
    }
    bool boolean(bool /*unused*/) override
    {
        return this->value();
    }
    bool number_integer(number_integer_t /*unused*/) override
    {
        return this->value();
    }
    bool number_unsigned(number_unsigned_t /*unused*/) override
    {
        return this->value();
    }
    bool number_float(number_float_t /*unused*/,
                      const string_t& /*unused*/) override
    {
        return this->value();
    }
    bool string(string_t& /*unused*/) override
    {
        return this->value();
    }
    bool binary(binary_t& /*unused*/) override
    {
        return this->value();
    }
    bool start_object(std::size_t /*unused*/) override
    {
        return this->open();
    }
    bool start_array(std::size_t /*unused*/) override
    {
        return this->open();
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
            this->found.add(this->path(), "the member is given twice");
        }
        return true;
    }

    bool parse_error(std::size_t position,
                     const std::string& /*last_token*/,
                     const json::exception& /*error*/) override
    {
        this->found.add(this->path(),
                        fmt::format("not valid JSON at byte {}", position));
        return false;
    }

private:
    struct level
    {
        std::set<std::string, std::less<>> members;
        std::string member; ///< newest; empty in an array
        std::size_t items = 0;
    };

    bool value()
    {
        if (!this->levels.empty())
        {
            ++this->levels.back().items;
        }
        return true;
    }

    bool open()
    {
        this->value();
        if (this->levels.size() == max_depth)
        {
            this->found.add(
                this->path(),
                fmt::format("nested more than {} levels deep", max_depth));
            return false;
        }
        this->levels.emplace_back();
        return true;
    }

    std::string path() const
    {
        std::string joined;
        for (const level& current : this->levels)
        {
            if (!current.members.empty())
            {
                joined += pointer_segment(current.member);
            }
            else if (current.items > 0)
            {
                joined += fmt::format("/{}", current.items - 1);
            }
        }
        return joined;
    }

    problem_list& found;
    std::vector<level> levels;
};

bool is_name(std::string_view text)
{
    const auto allowed = [](char letter)
    {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '-' ||
               letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_address(std::string_view text)
{
    boost::system::error_code failure;
    // 45 characters hold every IPv6 address.
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
            {"", fmt::format("{} further problems", this->omitted)});
        this->omitted = 0;
    }
    return {code, std::exchange(this->items, {})};
}

std::optional<json>
parse_json(std::string_view text, std::size_t max_bytes, problem_list& found)
{
    if (text.size() > max_bytes)
    {
        found.add("", fmt::format("{} bytes; at most {} are accepted",
                                  text.size(), max_bytes));
        return std::nullopt;
    }
    problem_list structure;
    structure_check check(structure);
    json::sax_parse(text.begin(), text.end(), &check,
                    json::input_format_t::json, true, true);
    if (!structure.empty())
    {
        for (problem& item : structure.take({}).items)
        {
            found.add(std::move(item.path), std::move(item.message));
        }
        return std::nullopt;
    }
    json parsed = json::parse(text.begin(), text.end(), nullptr, false, true);
    if (parsed.is_discarded())
    {
        found.add("", "not valid JSON");
        return std::nullopt;
    }
    return parsed;
}

object_reader::object_reader(const json& from,
                             std::string path_of_object,
                             problem_list& target)
    : source(from), path(std::move(path_of_object)), found(target)
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
    this->found.add(this->path_of(member), std::move(message));
}

const json* object_reader::find(std::string_view member, presence needed)
{
    this->asked.push_back(member);
    if (!this->source.is_object())
    {
        return nullptr;
    }
    const auto value = this->source.find(member);
    if (value != this->source.end())
    {
        return &*value;
    }
    if (needed == presence::required)
    {
        this->report(member, "the member is required");
    }
    return nullptr;
}

const json* object_reader::array(std::string_view member,
                                 std::size_t max_items,
                                 presence needed)
{
    const json* value = this->find(member, needed);
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
                                             presence needed)
{
    const json* value = this->find(member, needed);
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
                         presence needed)
{
    const std::string* value = this->text_value(member, needed);
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

void object_reader::flag(std::string_view member, bool& target, presence needed)
{
    const json* value = this->find(member, needed);
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

// Numbers with a fraction or an exponent are refused even where their value
// is whole, so that no number changes in conversion.
std::optional<std::uint64_t>
object_reader::whole_within(std::string_view member,
                            std::uint64_t least,
                            std::uint64_t greatest,
                            presence needed)
{
    const json* value = this->find(member, needed);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    const bool in_range = value->is_number_unsigned() &&
                          value->get<std::uint64_t>() >= least &&
                          value->get<std::uint64_t>() <= greatest;
    if (!in_range)
    {
        this->report(member,
                     fmt::format("expected a whole number from {} to {}", least,
                                 greatest));
        return std::nullopt;
    }
    return value->get<std::uint64_t>();
}

void object_reader::milliseconds(std::string_view member,
                                 std::chrono::milliseconds& target,
                                 std::uint64_t least,
                                 std::uint64_t greatest,
                                 presence needed)
{
    if (const auto value = this->whole_within(member, least, greatest, needed))
    {
        target = std::chrono::milliseconds(static_cast<std::int64_t>(*value));
    }
}

bool object_reader::real(std::string_view member,
                         double& target,
                         double least,
                         double greatest,
                         presence needed)
{
    const json* value = this->find(member, needed);
    if (value == nullptr)
    {
        return false;
    }
    const bool in_range = value->is_number() && value->get<double>() >= least &&
                          value->get<double>() <= greatest;
    if (!in_range)
    {
        this->report(member, fmt::format("expected a number from {} to {}",
                                         least, greatest));
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
        const json& item = (*value)[index];
        if (!item.is_string() ||
            !rule.accepts(item.get_ref<const std::string&>()))
        {
            this->found.add(
                fmt::format("{}/{}", this->path_of(member), index),
                fmt::format("expected a string of {}", rule.accepted));
            continue;
        }
        target.push_back(item.get<std::string>());
    }
}

void object_reader::ignore_others()
{
    this->others_ignored = true;
}

void object_reader::finish()
{
    if (this->others_ignored || !this->source.is_object())
    {
        return;
    }
    for (const auto& [member, value] : this->source.items())
    {
        if (std::find(this->asked.begin(), this->asked.end(), member) ==
            this->asked.end())
        {
            this->report(member, fmt::format("unknown member; accepted are {}",
                                             fmt::join(this->asked, ", ")));
        }
    }
}

} // namespace medlarbarrow::config
