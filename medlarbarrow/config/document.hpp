/// Parses and validates the configuration document that the console publishes,
/// splits it into values of the configuration service and joins them again.
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

/// Maximum size of one value of the configuration service.
constexpr std::size_t max_part_bytes = 1'000'000;

/// Maximum size of a document. A document with 15,000 routes and 21,000
/// accounts takes about a quarter of it.
constexpr std::size_t max_document_bytes = 32'000'000;

/// Parses and validates a document (JSON with comments). Error codes:
/// document_invalid, document_too_large.
checked<core::document> parse_document(std::string_view text);

/// Formats a document as JSON text; parse_document() of the text returns the
/// same document.
std::string format_document(const core::document& document);

/// One value of the configuration service.
struct document_value
{
    std::string name; ///< "index", or "part-" and 32 digits of its SHA-256
    std::string text;
};

/// Splits a document into values of at most max_part_bytes. The first value is
/// the index, which contains the version and the SHA-256 of each part.
/// Services, routes and accounts are assigned to parts by ranges of the hash of
/// their name, and a part is named after its content. A change of one account
/// therefore changes one part and the index; all other parts keep their names.
std::vector<document_value> split_document(const core::document& document);

/// Version of a document, and names and digests of its parts.
struct document_index
{
    std::uint64_t version = 0;
    std::vector<std::string> part_names;
    std::vector<std::string> part_digests; ///< SHA-256, hexadecimal
};

/// Parses the index, which contains a digest of itself. Error codes:
/// document_invalid, document_torn if that digest does not match.
checked<document_index> parse_index(std::string_view text);

/// Joins the parts, which must be in the order of the index. Services, routes
/// and accounts of the result are sorted by name. Error codes: document_torn if
/// the number of parts or the digest of a part differs from the index,
/// document_invalid.
checked<core::document> join_document(const document_index& index,
                                      const std::vector<std::string>& parts);

/// Parses the platform's list of instances. Unknown members are ignored,
/// because the platform may add some. Error code: platform_bad_answer.
checked<core::instance_list> parse_instance_list(std::string_view text);

} // namespace medlarbarrow::config
