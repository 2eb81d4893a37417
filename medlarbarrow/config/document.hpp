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

/// Greatest size of a whole document; 15,000 routes and 21,000 accounts take
/// about a quarter of it.
constexpr std::size_t max_document_bytes = 32'000'000;

/// Reads and checks one whole document (JSON with comments). Codes of a
/// failure: document_invalid, document_too_large.
checked<core::document> parse_document(std::string_view text);

/// The document as JSON text that parse_document() reads back unchanged.
std::string format_document(const core::document& source);

/// One value of the configuration service.
struct document_value
{
    std::string name; ///< "index" or "part-" and 32 digits of its SHA-256
    std::string text;
};

/// Splits a document into values of at most max_part_bytes. The first is the
/// index, which names the version and the SHA-256 of each part. Services,
/// routes and accounts are assigned to parts by ranges of the hash of their
/// name, and a part is named after its content: a change of one account
/// changes one part and the index, and the other parts keep their names.
std::vector<document_value> split_document(const core::document& source);

/// Version, names and digests of the parts. The index carries a digest of
/// itself. Codes: document_invalid, document_torn when that digest differs.
struct document_index
{
    std::uint64_t version = 0;
    std::vector<std::string> part_names;
    std::vector<std::string> part_digests; ///< SHA-256, hexadecimal
};

checked<document_index> parse_index(std::string_view text);

/// Joins the parts, given in the order of the index; services, routes and
/// accounts are sorted by name. Codes: document_torn when the number of parts
/// or the digest of one differs from the index, document_invalid.
checked<core::document> join_document(const document_index& index,
                                      const std::vector<std::string>& parts);

/// Reads the platform's list of instances; unknown members are ignored, since
/// the platform may add some. Code: platform_bad_answer.
checked<core::instance_list> parse_instance_list(std::string_view text);

} // namespace medlarbarrow::config
