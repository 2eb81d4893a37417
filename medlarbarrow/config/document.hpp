/// The configuration document that the console publishes: reading, checking,
/// splitting into values of the platform and joining them again.
#pragma once

#include <cstdint>
#include <medlarbarrow/config/problems.hpp>
#include <medlarbarrow/core/model.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace medlarbarrow::config
{

/// Greatest size of one value of the configuration service.
constexpr std::size_t max_part_bytes = 1'000'000;

/// Reads and checks one whole document (JSON with comments). Code of a
/// failure: document_invalid.
checked<core::document> parse_document(std::string_view text);

/// The document as JSON text that parse_document() reads back unchanged.
std::string format_document(const core::document& source);

/// One value of the configuration service.
struct document_value
{
    std::string name; ///< "index" or "part-<version>-<number>"
    std::string text;
};

/// Splits a document into values of at most max_part_bytes: part 0 is the
/// index, which names the version, the count of parts and the SHA-256 of each.
std::vector<document_value> split_document(const core::document& source);

/// Version and part digests of an index value. Code: document_invalid.
struct document_index
{
    std::uint64_t version = 0;
    std::vector<std::string> part_names;
    std::vector<std::string> part_digests; ///< SHA-256, hexadecimal
};

checked<document_index> parse_index(std::string_view text);

/// Joins the parts that the index names. Codes: document_torn when a part
/// does not have the digest of the index, document_invalid.
checked<core::document> join_document(const document_index& index,
                                      const std::vector<std::string>& parts);

/// Reads the platform's list of instances. Code: platform_bad_answer.
checked<core::instance_list> parse_instance_list(std::string_view text);

} // namespace medlarbarrow::config
