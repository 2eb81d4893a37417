#include <fstream>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/net/document_file.hpp>
#include <medlarbarrow/net/log.hpp>
#include <sstream>

namespace medlarbarrow::net
{

core::result<core::document> read_document_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
    {
        return make_error_code(core::result_code::file_unreadable);
    }
    auto parsed = config::parse_document(text.str());
    if (const auto* faults = std::get_if<config::problems>(&parsed))
    {
        for (const config::problem& fault : faults->items)
        {
            log::write(log::level::error, "document_fault",
                       {log::kv("path", fault.path),
                        log::kv("message", fault.message)});
        }
        return faults->code;
    }
    return std::get<core::document>(std::move(parsed));
}

} // namespace medlarbarrow::net
