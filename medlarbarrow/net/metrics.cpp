#include <atomic>
#include <fmt/format.h>
#include <map>
#include <medlarbarrow/net/metrics.hpp>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace medlarbarrow::net
{

namespace
{

// From one millisecond to the longest usual deadline of a request.
const prometheus::Histogram::BucketBoundaries request_duration_bounds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25,  0.5,    1.0,   2.5,  5.0,   10.0, 30.0};

// The target is at most 1 ms of added latency for 99 % of the requests.
const prometheus::Histogram::BucketBoundaries added_latency_bounds{
    0.0001, 0.00025, 0.0005, 0.00075, 0.001, 0.0015,
    0.0025, 0.005,   0.01,   0.05,    0.25};

double seconds(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

// Label value of an ejection event.
const char* name_of(ejection_event event)
{
    switch (event)
    {
    case ejection_event::ejected:
        return "ejected";
    case ejection_event::kept_by_floor:
        return "kept_by_floor";
    case ejection_event::ended:
        return "ended";
    }
    return "other";
}

prometheus::Family<prometheus::Counter>&
counters(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge&
gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

/// Counters of one family, one for each value of a label.
class labelled_counters
{
public:
    labelled_counters(prometheus::Registry& registry,
                      const char* name,
                      const char* help,
                      const char* label_name)
        : family(counters(registry, name, help)), label(label_name)
    {
    }

    void add(std::string_view value, double amount)
    {
        this->find_or_add(value).Increment(amount);
    }

private:
    // Returns the counter of a label value; `other` after max_label_values - 1
    // values.
    prometheus::Counter& find_or_add(std::string_view value)
    {
        const std::lock_guard guard(this->mutex);
        auto existing = this->by_value.find(value);
        if (existing != this->by_value.end())
        {
            return *existing->second;
        }
        const bool full = this->by_value.size() + 1 >= max_label_values;
        const std::string name(full ? "other" : value);
        prometheus::Counter& added = this->family.Add({{this->label, name}});
        if (!full)
        {
            this->by_value.emplace(name, &added);
        }
        return added;
    }

    prometheus::Family<prometheus::Counter>& family;
    const char* label;
    std::mutex mutex;
    std::map<std::string, prometheus::Counter*, std::less<>> by_value;
};

} // namespace

struct metrics::state
{
    prometheus::Registry registry;
    labelled_counters requests{registry, "medlar_requests_total",
                               "Ended requests by outcome.", "code"};
    prometheus::Histogram& request_latency =
        prometheus::BuildHistogram()
            .Name("medlar_request_duration_seconds")
            .Help("Time from the request header to the end of the response.")
            .Register(registry)
            .Add({}, request_duration_bounds);
    prometheus::Histogram& added_latency =
        prometheus::BuildHistogram()
            .Name("medlar_added_latency_seconds")
            .Help("Part of the request duration not spent at a backend server.")
            .Register(registry)
            .Add({}, added_latency_bounds);
    labelled_counters limit_refusals{registry, "medlar_limit_refusals_total",
                                     "Requests refused by a limit, by code.",
                                     "code"};
    labelled_counters ejections{
        registry, "medlar_ejections_total",
        "Automatic ejections of backend servers, by event.", "event"};
    prometheus::Counter& retries =
        counters(registry,
                 "medlar_retries_total",
                 "Attempts after the first attempt of a request.")
            .Add({});
    labelled_counters messages_sent{
        registry, "medlar_peer_messages_sent_total",
        "Messages sent to other instances, by type.", "type"};
    labelled_counters messages_received{
        registry, "medlar_peer_messages_received_total",
        "Messages received from other instances, by type.", "type"};
    prometheus::Counter& bytes_sent =
        counters(registry,
                 "medlar_peer_sent_bytes_total",
                 "Bytes of messages sent to other instances.")
            .Add({});
    prometheus::Counter& bytes_received =
        counters(registry,
                 "medlar_peer_received_bytes_total",
                 "Bytes of messages received from other instances.")
            .Add({});
    prometheus::Counter& dropped_lines =
        counters(registry,
                 "medlar_log_lines_dropped_total",
                 "Log lines dropped by a full queue or the rate limit.")
            .Add({});
    std::atomic<std::uint64_t> dropped_lines_counted = 0;
    prometheus::Gauge& document_version =
        gauge(registry,
              "medlar_document_version",
              "Version of the configuration document in force.");
    prometheus::Gauge& list_version =
        gauge(registry,
              "medlar_instance_list_version",
              "Version of the instance list in force.");
    prometheus::Gauge& list_era =
        gauge(registry,
              "medlar_instance_list_era",
              "Era of the source in which the list version counts.");
    prometheus::Gauge& ready = gauge(
        registry, "medlar_ready", "1 if the instance is ready, otherwise 0.");
    prometheus::Gauge& live_instances =
        gauge(registry,
              "medlar_live_instances",
              "Live instances in the instance list.");
    prometheus::Gauge& majority_buckets =
        gauge(registry,
              "medlar_majority_buckets",
              "Buckets whose orders this instance decides.");
    prometheus::Gauge& active_accounts =
        gauge(registry,
              "medlar_active_accounts",
              "Client accounts with a token bucket in this instance.");
    prometheus::Gauge& order_records =
        gauge(registry,
              "medlar_order_records",
              "Order records stored in this instance.");
    prometheus::Gauge& waiting_requests =
        gauge(registry,
              "medlar_waiting_requests",
              "Requests waiting for admission or a verdict.");
    prometheus::Gauge& running_requests =
        gauge(registry,
              "medlar_running_requests",
              "Requests running at a backend server.");
};

metrics::metrics() : self(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::request_ended(core::result_code outcome,
                            core::duration elapsed,
                            core::duration added)
{
    this->self->requests.add(core::name_of(outcome), 1);
    this->self->request_latency.Observe(seconds(elapsed));
    this->self->added_latency.Observe(seconds(added));
}

void metrics::count_limit_refusal(core::result_code reason)
{
    this->self->limit_refusals.add(core::name_of(reason), 1);
}

void metrics::ejection(ejection_event event)
{
    this->self->ejections.add(name_of(event), 1);
}

void metrics::retries(unsigned count)
{
    this->self->retries.Increment(count);
}

void metrics::count_peer_messages(peer_direction direction,
                                  std::string_view type,
                                  std::uint64_t count,
                                  std::uint64_t bytes)
{
    const bool sent = direction == peer_direction::sent;
    labelled_counters& messages =
        sent ? this->self->messages_sent : this->self->messages_received;
    prometheus::Counter& byte_counter =
        sent ? this->self->bytes_sent : this->self->bytes_received;
    messages.add(type, static_cast<double>(count));
    byte_counter.Increment(static_cast<double>(bytes));
}

// A counter can only be increased. The new value is kept first, so that calls
// from several threads add each line once.
void metrics::log_lines_dropped(std::uint64_t total)
{
    std::uint64_t counted = this->self->dropped_lines_counted;
    while (counted < total &&
           !this->self->dropped_lines_counted.compare_exchange_weak(counted,
                                                                    total))
    {
    }
    if (counted < total)
    {
        this->self->dropped_lines.Increment(
            static_cast<double>(total - counted));
    }
}

void metrics::set_view(const core::node_view& view)
{
    state& impl = *this->self;
    const auto set = [](prometheus::Gauge& target, auto value)
    {
        target.Set(static_cast<double>(value));
    };
    set(impl.document_version, view.document_version);
    set(impl.list_version, view.list_version);
    set(impl.list_era, view.list_era);
    set(impl.ready, view.ready ? 1 : 0);
    set(impl.live_instances, view.live_instances);
    set(impl.majority_buckets, view.majority_buckets);
    set(impl.active_accounts, view.active_accounts);
    set(impl.order_records, view.order_records);
    set(impl.waiting_requests, view.waiting_requests);
    set(impl.running_requests, view.running_requests);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(
        this->self->registry.Collect());
}

std::string format_counters(const core::body_counters& counts)
{
    std::string text;
    const auto add = [&text](std::string_view name, std::uint64_t value)
    {
        text += fmt::format("# TYPE medlarbarrow_{0} counter\n"
                            "medlarbarrow_{0} {1}\n",
                            name, value);
    };
    add("requests_refused_for_memory_total", counts.requests_refused);
    add("stopped_requests_ended_total", counts.stopped_ended);
    add("body_copies_dropped_total", counts.copies_dropped);
    add("connections_refused_total", counts.connections_refused);
    return text;
}

} // namespace medlarbarrow::net
