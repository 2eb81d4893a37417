/// Compares documents, explains how an instance would handle a request, and
/// lists the objects of a document.
#pragma once

#include <medlarbarrow/core/model.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace medlarbarrow::config
{

/// Compares two documents, object by object of the same name. Returns `equal`,
/// `old_version`, `new_version`, `changes` (path, change, old, new) and `notes`
/// on what an operator must observe before the newer document is published.
nlohmann::ordered_json compare_documents(const core::document& older,
                                         const core::document& newer);

/// A request as an operator describes it.
struct request_description
{
    std::string method;
    std::string host;
    std::string path;
    std::optional<core::key_digest> key;
    std::string account; ///< account that sends it; replaces the key
};

/// Explains how an instance would handle a request according to the document:
/// `refused` with code and reason, or the route, account, limit, service and
/// servers. Current request rates and automatic ejections are not considered.
nlohmann::ordered_json explain_request(const core::document& document,
                                       const request_description& request);

/// Tables with one row for each object.
nlohmann::ordered_json list_routes(const core::document& document);
nlohmann::ordered_json list_accounts(const core::document& document);
nlohmann::ordered_json list_servers(const core::document& document);

} // namespace medlarbarrow::config
