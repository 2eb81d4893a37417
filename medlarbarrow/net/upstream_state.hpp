/// State of the connections to servers and of the attempts over them; included
/// by the source files of class upstream only.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <medlarbarrow/core/orders.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/upstream.hpp>

namespace medlarbarrow::net
{

using answer_parser = http::response_parser<http::buffer_body>;

/// Longest silence of a server inside an answer that has started. Enforcing
/// only the deadline would cut off long answers to slow callers.
constexpr std::chrono::seconds max_silence{10};

constexpr std::size_t max_answer_header_bytes = 65536;

/// Connections to one server: the idle ones and the number of open ones.
struct upstream::server_pool
{
    /// What a connection has served. An answer to any of these requests may
    /// still arrive on it once more.
    struct connection_history
    {
        std::vector<std::size_t> request_ids; ///< hashes
        bool has_served_head = false;         ///< a request with method HEAD
        core::time_point connected_at{};

        /// An answer to an earlier request with the same id could not be told
        /// from the answer to this one.
        bool contains(std::size_t id) const
        {
            return std::find(this->request_ids.begin(), this->request_ids.end(),
                             id) != this->request_ids.end();
        }
    };

    struct idle_connection
    {
        asio::ip::tcp::socket socket;
        connection_history history;
        core::time_point since{};
        core::duration age_limit{};
    };

    explicit server_pool(const asio::any_io_executor& executor)
        : connection_available(executor)
    {
    }

    std::deque<idle_connection> idle; ///< most recently used at the back
    std::size_t open = 0;             ///< including idle ones
    signal connection_available;
};

/// State of one attempt in progress.
struct upstream::exchange
{
    enum class stop_cause
    {
        none,
        timed_out,
        caller_gone,
        caller_failed,
        bad_answer,
        body_stalled, ///< the rest of the caller's body did not arrive
        withheld,
        internal_failure ///< an exception in this instance
    };

    exchange(const asio::any_io_executor& executor,
             std::shared_ptr<server_pool> server_connections,
             std::shared_ptr<upstream_counters> counters,
             std::size_t max_part_bytes)
        : pool(std::move(server_connections)), counts(std::move(counters)),
          socket(executor), watchdog(executor), changed(executor),
          input(max_answer_header_bytes), part_limit(max_part_bytes)
    {
    }

    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    ~exchange()
    {
        this->release_slot();
    }

    void release_slot()
    {
        if (this->holds_slot)
        {
            this->holds_slot = false;
            --this->pool->open;
            --this->counts->connections_open;
            this->pool->connection_available.notify();
        }
    }

    /// Ends the attempt from outside its coroutines. Closing the connection
    /// also cancels the request at the server.
    void stop(stop_cause why)
    {
        if (this->stopped)
        {
            return;
        }
        // A server that waits for the body can't answer in time.
        const bool lacks_body =
            why == stop_cause::timed_out && this->awaits_body;
        this->cause = lacks_body ? stop_cause::body_stalled : why;
        this->counts->bodies_stalled +=
            this->cause == stop_cause::body_stalled ? 1 : 0;
        this->close();
        this->pool->connection_available.notify();
    }

    void close()
    {
        this->stopped = true;
        boost::system::error_code ignored;
        this->socket.close(ignored);
        this->changed.notify();
    }

    /// Parses the buffered part of a header.
    boost::system::error_code parse_header()
    {
        const auto bytes = this->input.data();
        const std::string_view text(static_cast<const char*>(bytes.data()),
                                    bytes.size());
        if (!is_well_formed_beginning(text))
        {
            return http::error::bad_field;
        }
        boost::system::error_code failure;
        this->input.consume(this->parser->put(bytes, failure));
        if (failure == http::error::need_more)
        {
            failure = {};
        }
        return failure;
    }

    /// Makes room in `part_buffer` for the buffered input, up to `part_limit`.
    void grow_part_buffer()
    {
        const std::size_t size = this->part_buffer.size();
        const std::size_t wanted =
            std::min(this->part_limit, this->filled + this->input.size());
        if (wanted > size)
        {
            this->part_buffer.resize(
                std::min(this->part_limit, std::max(wanted, 2 * size)));
        }
    }

    /// Decodes buffered input into `part_buffer`. False when it is malformed.
    bool decode()
    {
        this->grow_part_buffer();
        auto& body = this->parser->get().body();
        const std::size_t room = this->part_buffer.size() - this->filled;
        body.data = this->part_buffer.data() + this->filled;
        body.size = room;
        body.more = true;
        while (this->input.size() > 0 && body.size > 0 &&
               !this->parser->is_done())
        {
            boost::system::error_code failure;
            const std::size_t used =
                this->parser->put(this->input.data(), failure);
            this->input.consume(used);
            if (failure && failure != http::error::need_more &&
                failure != http::error::need_buffer)
            {
                return false;
            }
            if (used == 0)
            {
                break;
            }
        }
        this->filled += room - body.size;
        return true;
    }

    /// Stores the answer for repeats of the order while it fits the limit.
    void store_part(std::string_view part)
    {
        this->answer_fits &= this->stored.body.size() + part.size() <=
                             core::max_stored_body_bytes;
        if (this->answer_fits)
        {
            this->stored.body += part;
        }
    }

    /// Discards the current answer and logs why. Its connection is not reused.
    void discard(std::uint64_t& counter, std::string_view reason)
    {
        ++counter;
        this->answer_discarded = true;
        const unsigned status = this->parser->is_header_done()
                                    ? this->parser->get().result_int()
                                    : 0;
        log::write(log::level::warning, "server_answer_discarded",
                   {log::kv("id", this->request_id),
                    log::kv("service", this->service),
                    log::kv("server", this->server), log::kv("status", status),
                    log::kv("reason", reason)});
    }

    /// Ends the attempt because the answer is damaged: the request may have
    /// run.
    void reject_damaged(std::string_view reason)
    {
        if (!this->stopped)
        {
            this->discard(this->counts->answers_damaged, reason);
            this->stop(stop_cause::bad_answer);
        }
    }

    /// The same for bytes that are no answer, from a server that goes on
    /// sending: it has not crashed.
    void reject_bytes(std::string_view reason)
    {
        this->server_lives |= !this->stopped;
        this->reject_damaged(reason);
    }

    void disarm()
    {
        this->watchdog_deadline = {};
        this->watchdog.cancel();
    }

    /// Limits the server's silence inside an answer that has started, and the
    /// duration of one whose length is unknown. This is a separate function
    /// because g++ 12 misplaces the frame of a coroutine in which std::max()
    /// takes a temporary.
    static void arm_for_part(const std::shared_ptr<exchange>& current,
                             core::time_point deadline,
                             core::duration unsized_overtime)
    {
        if (!current->forwarded)
        {
            return;
        }
        const core::time_point now = core::boot_clock::now();
        core::time_point part_deadline = std::max(deadline, now + max_silence);
        if (!current->head.length)
        {
            part_deadline =
                std::min(part_deadline, deadline + unsized_overtime);
        }
        if (now >= part_deadline)
        {
            current->server_lives = true;
            current->stop(stop_cause::timed_out);
            return;
        }
        arm(current, part_deadline);
    }

    /// Stops `current` at `deadline` unless the watchdog is armed again or
    /// disarmed before.
    static void arm(const std::shared_ptr<exchange>& current,
                    core::time_point deadline)
    {
        current->watchdog.expires_at(to_steady_time(deadline));
        current->watchdog.async_wait(
            [weak = std::weak_ptr(current),
             deadline](boost::system::error_code failure)
            {
                const auto target = weak.lock();
                if (!failure && target && target->watchdog_deadline == deadline)
                {
                    target->stop(stop_cause::timed_out);
                }
            });
        current->watchdog_deadline = deadline;
    }

    std::shared_ptr<server_pool> pool;
    std::shared_ptr<upstream_counters> counts;
    asio::ip::tcp::socket socket;
    asio::steady_timer watchdog;
    core::time_point watchdog_deadline{};
    signal changed; ///< a write or the sender has ended
    stop_cause cause = stop_cause::none;
    bool holds_slot = false;
    bool stopped = false;

    std::uint64_t bytes_written = 0;
    bool awaits_body = false; ///< the next bytes must come from the caller
    bool write_started = false;
    bool write_in_progress = false;
    boost::system::error_code write_failure; ///< of the last write
    bool sender_ended = true;
    bool request_complete = false; ///< all request bytes are written

    std::string service;
    std::string server;
    std::string request_id;
    server_pool::connection_history history;
    bool answer_discarded = false; ///< the connection must not be reused
    core::time_point send_start{};
    bool answer_complete = false;
    bool server_lives = false; ///< it was sending when the attempt ended
    bool reusable = false;
    core::duration age_limit{}; ///< of the connection, once idle
    bool forwarded = false;     ///< caller got part of the answer
    bool caller_left = false;
    bool not_run = false;
    core::attempt_result result;

    boost::beast::flat_buffer input;
    std::optional<answer_parser> parser;
    answer_head head;
    std::vector<char> part_buffer; ///< grows with the answer
    std::size_t part_limit;        ///< bytes that `part_buffer` may take
    std::size_t filled = 0;        ///< bytes of `part_buffer` in use
    core::stored_answer stored;
    bool answer_fits = true;
};

} // namespace medlarbarrow::net
