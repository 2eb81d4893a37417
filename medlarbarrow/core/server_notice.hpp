/// What a run of a server has stated about itself in the header of an answer.
#pragma once

#include <cstdint>
#include <medlarbarrow/core/types.hpp>
#include <string>

namespace medlarbarrow::core
{

/// The run is named, so that a late report cannot concern a newer run.
struct server_notice
{
    std::string server;
    std::uint64_t started = 0; ///< Unix milliseconds; 0: unknown
    bool leaving = false;      ///< accepts no new requests
    duration retry_after{};    ///< wants nothing from the instance for so long

    /// True if there is nothing to tell anyone.
    bool is_empty() const noexcept
    {
        return !this->leaving && this->retry_after <= duration(0);
    }
};

} // namespace medlarbarrow::core
