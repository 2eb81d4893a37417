/// Answers questions about documents: what differs, and what would happen to a
/// request.
#pragma once

#include <medlarbarrow/core/model.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace medlarbarrow::config
{

/// `equal`, `changes` (path, change, old, new) and `notes` on what to mind
/// before the newer document is published. Objects are compared by name.
nlohmann::ordered_json compare_documents(const core::document& older,
                                         const core::document& newer);

/// A request as an operator describes it.
struct request_question
{
    std::string method;
    std::string host;
    std::string path;
    std::optional<core::key_digest> key;
    std::string account; ///< asks as this account, whatever its keys
};

/// What an instance does with the request by the document alone: `refused`
/// with code and reason, or the route, account, limit, service and servers. It
/// does not know rates in use or automatic ejections.
nlohmann::ordered_json explain_request(const core::document& source,
                                       const request_question& question);

/// One line for each object, as tables.
nlohmann::ordered_json list_routes(const core::document& source);
nlohmann::ordered_json list_accounts(const core::document& source);
nlohmann::ordered_json list_servers(const core::document& source);

} // namespace medlarbarrow::config
