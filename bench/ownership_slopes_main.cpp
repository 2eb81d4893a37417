/// Measures how the cost of the delegation protocol grows with the fleet. Runs
/// the logic of all instances in one process, with simulated time and without
/// message delay. Prints for each fleet size the messages of the median and of
/// the busiest instance, the processor time, and the time until every bucket
/// has a majority.
#include <algorithm>
#include <chrono>
#include <ctime>
#include <fmt/format.h>
#include <map>
#include <medlarbarrow/core/ownership.hpp>
#include <memory>
#include <string>
#include <vector>

using namespace medlarbarrow::core;

namespace
{

constexpr duration step_interval(std::chrono::milliseconds(250));

/// The ownership logic of all instances.
struct fleet
{
    explicit fleet(std::size_t size)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            this->names.push_back(fmt::format("instance-{:04}", index));
        }
        for (std::size_t index = 0; index < size; ++index)
        {
            const std::string& name = this->names[index];
            this->ids[name] = {name, 1};
            auto instance =
                std::make_unique<ownership>(this->ids[name], this->now);
            instance->set_max_instances(static_cast<std::uint32_t>(size));
            instance->set_live_instances(this->names, this->now);
            this->instances[name] = std::move(instance);
        }
    }

    void deliver(const std::string& sender_name, const outgoing& envelope)
    {
        ++this->sent[sender_name];
        ++this->received[envelope.to];
        ownership& receiver = *this->instances.at(envelope.to);
        const instance_id& sender = this->ids.at(sender_name);
        receiver.record_message_from(sender, this->now);
        if (const auto* request =
                std::get_if<delegation_request>(&envelope.message))
        {
            for (const outgoing& answer :
                 receiver.receive(sender, *request, this->now))
            {
                this->deliver(envelope.to, answer);
            }
        }
        else if (const auto* answer =
                     std::get_if<delegation>(&envelope.message))
        {
            receiver.receive(sender, *answer, this->now);
        }
    }

    void run(duration period)
    {
        const time_point end = this->now + period;
        while (this->now < end)
        {
            this->now += step_interval;
            for (const std::string& name : this->names)
            {
                for (const outgoing& envelope :
                     this->instances.at(name)->tick(this->now))
                {
                    this->deliver(name, envelope);
                }
            }
        }
    }

    std::size_t buckets_with_majority() const
    {
        std::size_t count = 0;
        for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
        {
            const std::string& owner =
                this->instances.at(this->names.front())->owner_of(bucket);
            count += this->instances.at(owner)->has_majority(bucket, this->now);
        }
        return count;
    }

    time_point now{std::chrono::hours(1)};
    std::vector<std::string> names;
    std::map<std::string, instance_id> ids;
    std::map<std::string, std::unique_ptr<ownership>> instances;
    std::map<std::string, std::uint64_t> sent;
    std::map<std::string, std::uint64_t> received;
};

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void measure(std::size_t size)
{
    fleet sample(size);
    const time_point start = sample.now;
    while (sample.buckets_with_majority() < bucket_count)
    {
        sample.run(step_interval);
    }
    const auto time_to_majorities =
        std::chrono::duration<double>(sample.now - start);
    sample.sent.clear();
    sample.received.clear();
    const duration period(std::chrono::minutes(2));
    const double processor_before = processor_seconds();
    sample.run(period);
    const double processor_used = processor_seconds() - processor_before;
    std::vector<double> rates;
    for (const std::string& name : sample.names)
    {
        const double messages = static_cast<double>(sample.sent[name]) +
                                static_cast<double>(sample.received[name]);
        rates.push_back(messages /
                        std::chrono::duration<double>(period).count());
    }
    std::sort(rates.begin(), rates.end());
    const double seconds = std::chrono::duration<double>(period).count();
    fmt::print("{:9} {:9.0f} {:14.2f} {:14.2f} {:16.4f} {:16.1f}\n", size,
               std::chrono::duration<double>(
                   sample.instances.begin()->second->times().lease)
                   .count(),
               rates[rates.size() / 2], rates.back(),
               100.0 * processor_used / seconds / static_cast<double>(size),
               time_to_majorities.count());
}

} // namespace

int main()
{
    fmt::print("instances   lease_s  msgs/s_median     msgs/s_max  "
               "core_percent_avg  all_majorities_s\n");
    for (const std::size_t size : {3, 8, 16, 40, 100, 200, 400, 830})
    {
        measure(size);
    }
}
