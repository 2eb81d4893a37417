/// Reads the document of a small site without a platform from a file.
#pragma once

#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/types.hpp>
#include <string>

namespace medlarbarrow::net
{

/// Reads a document from a file and logs each fault in it. Errors:
/// file_unreadable, or the result code of the faults.
core::result<core::document> read_document_file(const std::string& path);

} // namespace medlarbarrow::net
