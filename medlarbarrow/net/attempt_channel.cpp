#include <medlarbarrow/net/attempt_channel.hpp>

namespace medlarbarrow::net
{

attempt_channel::attempt_channel(std::shared_ptr<caller_connection> connection)
    : caller(std::move(connection))
{
}

void attempt_channel::detach()
{
    this->detached = true;
    if (const auto callback = this->on_disconnect)
    {
        callback();
    }
}

asio::awaitable<body_part> attempt_channel::read_body(std::uint64_t position,
                                                      const bool& stopped)
{
    const body_part part = co_await this->caller->read_body(position, stopped);
    co_return part;
}

void attempt_channel::wake()
{
    this->caller->wake();
}

asio::awaitable<bool> attempt_channel::write_head(const answer_head& head,
                                                  std::string_view part,
                                                  bool last)
{
    if (this->detached)
    {
        co_return false;
    }
    const bool written = co_await this->caller->write_head(head, part, last);
    co_return written;
}

asio::awaitable<bool> attempt_channel::write_part(std::string_view part,
                                                  bool last)
{
    if (this->detached)
    {
        co_return false;
    }
    const bool written = co_await this->caller->write_part(part, last);
    co_return written;
}

bool attempt_channel::is_gone() const
{
    return this->detached || this->caller->is_gone();
}

} // namespace medlarbarrow::net
