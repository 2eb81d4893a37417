/// Accepts callers and carries their requests through the decision logic to
/// backend servers. Everything runs on the one thread of the io_context.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/net/upstream.hpp>
#include <memory>

namespace medlarbarrow::net
{

/// Upper bounds of the latency buckets; one more bucket holds the rest.
constexpr std::array<std::chrono::milliseconds, 12> latency_bounds{
    std::chrono::milliseconds(1),    std::chrono::milliseconds(2),
    std::chrono::milliseconds(5),    std::chrono::milliseconds(10),
    std::chrono::milliseconds(25),   std::chrono::milliseconds(50),
    std::chrono::milliseconds(100),  std::chrono::milliseconds(250),
    std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2500), std::chrono::milliseconds(5000)};

struct latency_histogram
{
    std::array<std::uint64_t, latency_bounds.size() + 1> buckets{};
    std::uint64_t count = 0;
    core::duration sum{};

    void add(core::duration value);
};

/// Read on the thread of the entry.
struct entry_counters
{
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_open = 0; ///< now
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t answers_cut = 0; ///< reset because the answer ended early
    std::uint64_t callers_gone = 0;
    std::map<core::result_code, std::uint64_t> refusals;
    latency_histogram latency; ///< header read to last byte written
    upstream_counters servers;
};

/// A request that has ended, for metrics.
struct request_summary
{
    core::result_code outcome = core::result_code::ok; ///< or the refusal's
    core::duration elapsed{};   ///< header read to last byte written
    core::duration at_server{}; ///< the part spent in attempts
    unsigned attempts = 0;
};

/// HTTP status that a refusal with this code carries.
unsigned status_of(core::result_code code) noexcept;

class entry
{
public:
    using send_function = std::function<void(core::outbox&&)>;

    /// `io` and `decisions` must outlive all its sessions, that is, until
    /// `io` has stopped. Errors: settings_invalid (address, certificate).
    static core::result<std::unique_ptr<entry>>
    create(asio::io_context& io,
           const config::settings& settings,
           core::node& decisions,
           send_function send);

    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry();

    /// Listens. Returns the error of the system when it cannot.
    std::error_code start();

    /// Port it listens on; the settings may say 0 for any.
    std::uint16_t port() const;

    /// Body limits and shares of connections come from this document.
    void apply_document(const core::document& next);

    /// The node has received or ticked: waiting requests ask it again.
    void notify_changed();

    /// Stops accepting, finishes all requests and closes connections as they
    /// become idle; then calls `drained`, once.
    void drain(std::function<void()> drained);

    /// Called on the thread of the entry when a request has ended.
    void on_request_end(std::function<void(const request_summary&)> observe);

    entry_counters counters() const;

private:
    struct state;
    explicit entry(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::net
