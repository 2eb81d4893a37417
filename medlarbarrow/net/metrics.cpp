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

// Requests take from one millisecond to the longest usual deadline.
const prometheus::Histogram::BucketBoundaries request_seconds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25,  0.5,    1.0,   2.5,  5.0,   10.0, 30.0};

// The goal is 1 ms for 99 in 100 requests.
const prometheus::Histogram::BucketBoundaries added_seconds{
    0.0001, 0.00025, 0.0005, 0.00075, 0.001, 0.0015,
    0.0025, 0.005,   0.01,   0.05,    0.25};

double seconds(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

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
counters(prometheus::Registry& in, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(in);
}

prometheus::Gauge&
gauge(prometheus::Registry& in, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(in).Add({});
}

/// Counters of one family that differ in one label.
class labelled_counters
{
public:
    labelled_counters(prometheus::Registry& in,
                      const char* name,
                      const char* help,
                      const char* label_name)
        : family(counters(in, name, help)), label(label_name)
    {
    }

    void add(std::string_view value, double amount)
    {
        this->find(value).Increment(amount);
    }

private:
    prometheus::Counter& find(std::string_view value)
    {
        const std::lock_guard guard(this->mutex);
        auto known = this->known.find(value);
        if (known != this->known.end())
        {
            return *known->second;
        }
        const bool full = this->known.size() + 1 >= max_label_values;
        const std::string name(full ? "other" : value);
        prometheus::Counter& added = this->family.Add({{this->label, name}});
        if (!full)
        {
            this->known.emplace(name, &added);
        }
        return added;
    }

    prometheus::Family<prometheus::Counter>& family;
    const char* label;
    std::mutex mutex;
    std::map<std::string, prometheus::Counter*, std::less<>> known;
};

} // namespace

struct metrics::state
{
    prometheus::Registry registry;
    labelled_counters requests{registry, "medlar_requests_total",
                               "Requests that ended, by outcome.", "code"};
    prometheus::Histogram& request_latency =
        prometheus::BuildHistogram()
            .Name("medlar_request_duration_seconds")
            .Help("Time from the request header to the end of the answer.")
            .Register(registry)
            .Add({}, request_seconds);
    prometheus::Histogram& added_latency =
        prometheus::BuildHistogram()
            .Name("medlar_added_latency_seconds")
            .Help("Part of the time that no backend server took.")
            .Register(registry)
            .Add({}, added_seconds);
    labelled_counters limit_refusals{registry, "medlar_limit_refusals_total",
                                     "Requests refused by a limit.", "code"};
    labelled_counters ejections{registry, "medlar_ejections_total",
                                "Automatic ejections of backend servers.",
                                "event"};
    prometheus::Counter& retries =
        counters(registry, "medlar_retries_total", "Attempts after the first.")
            .Add({});
    labelled_counters messages_sent{registry, "medlar_peer_messages_sent_total",
                                    "Messages to other instances.", "type"};
    labelled_counters messages_received{
        registry, "medlar_peer_messages_received_total",
        "Messages from other instances.", "type"};
    prometheus::Counter& bytes_sent =
        counters(registry,
                 "medlar_peer_sent_bytes_total",
                 "Bytes of messages to other instances.")
            .Add({});
    prometheus::Counter& bytes_received =
        counters(registry,
                 "medlar_peer_received_bytes_total",
                 "Bytes of messages from other instances.")
            .Add({});
    prometheus::Counter& dropped_lines =
        counters(registry,
                 "medlar_log_lines_dropped_total",
                 "Log lines that the full queue or the rate limit dropped.")
            .Add({});
    prometheus::Gauge& document_version =
        gauge(registry,
              "medlar_document_version",
              "Version of the configuration document in force.");
    prometheus::Gauge& list_version =
        gauge(registry,
              "medlar_instance_list_version",
              "Version of the instance list in force.");
    prometheus::Gauge& ready =
        gauge(registry, "medlar_ready", "1 when the instance is ready.");
    prometheus::Gauge& live_instances =
        gauge(registry,
              "medlar_live_instances",
              "Instances that the list shows as live.");
    prometheus::Gauge& majority_buckets =
        gauge(registry,
              "medlar_majority_buckets",
              "Buckets that this instance decides orders of.");
    prometheus::Gauge& active_accounts =
        gauge(registry,
              "medlar_active_accounts",
              "Client accounts with a token bucket here.");
    prometheus::Gauge& order_records = gauge(
        registry, "medlar_order_records", "Order records that are kept here.");
    prometheus::Gauge& waiting_requests =
        gauge(registry,
              "medlar_waiting_requests",
              "Requests that wait for admission or a verdict.");
    prometheus::Gauge& running_requests =
        gauge(registry,
              "medlar_running_requests",
              "Requests that run at a backend server.");
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

void metrics::limit_refused(core::result_code reason)
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

void metrics::peer_messages(peer_direction direction,
                            std::string_view type,
                            std::uint64_t count,
                            std::uint64_t bytes)
{
    const bool sent = direction == peer_direction::sent;
    labelled_counters& messages =
        sent ? this->self->messages_sent : this->self->messages_received;
    prometheus::Counter& volume =
        sent ? this->self->bytes_sent : this->self->bytes_received;
    messages.add(type, static_cast<double>(count));
    volume.Increment(static_cast<double>(bytes));
}

void metrics::log_lines_dropped(std::uint64_t lines)
{
    this->self->dropped_lines.Increment(static_cast<double>(lines));
}

void metrics::set_view(const core::node_view& view)
{
    state& current = *this->self;
    const auto set = [](prometheus::Gauge& target, auto value)
    {
        target.Set(static_cast<double>(value));
    };
    set(current.document_version, view.document_version);
    set(current.list_version, view.list_version);
    set(current.ready, view.ready ? 1 : 0);
    set(current.live_instances, view.live_instances);
    set(current.majority_buckets, view.majority_buckets);
    set(current.active_accounts, view.active_accounts);
    set(current.order_records, view.order_records);
    set(current.waiting_requests, view.waiting_requests);
    set(current.running_requests, view.running_requests);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(
        this->self->registry.Collect());
}

} // namespace medlarbarrow::net
