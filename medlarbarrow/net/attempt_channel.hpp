/// The caller's side of one attempt, which can be detached from the caller
/// while the attempt goes on.
#pragma once

#include <medlarbarrow/net/caller.hpp>

namespace medlarbarrow::net
{

/// Passes everything on to the caller's connection until it is detached.
class attempt_channel : public caller_channel
{
public:
    explicit attempt_channel(std::shared_ptr<caller_connection> connection);

    /// From now on the attempt finds its caller gone and writes nothing, so
    /// that another answer can be written. Must not be called after the answer
    /// has started.
    void detach();

    asio::awaitable<body_part> read_body(std::uint64_t position,
                                         const bool& stopped) override;
    void wake() override;
    asio::awaitable<bool> write_head(const answer_head& head,
                                     std::string_view part,
                                     bool last) override;
    asio::awaitable<bool> write_part(std::string_view part, bool last) override;
    bool is_gone() const override;

private:
    std::shared_ptr<caller_connection> caller;
    bool detached = false;
};

} // namespace medlarbarrow::net
