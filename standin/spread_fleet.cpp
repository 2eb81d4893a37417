#include <medlarbarrow/core/hash.hpp>
#include <standin/spread_fleet.hpp>

namespace medlarbarrow::standin
{

namespace
{

constexpr core::duration step_interval = std::chrono::milliseconds(50);
constexpr core::duration watch_interval = std::chrono::seconds(30);
constexpr std::size_t seed_count = 2;

std::string digest_of(const std::vector<std::string>& values)
{
    std::string joined;
    for (std::size_t part = 1; part < values.size(); ++part)
    {
        joined += values[part];
    }
    return std::to_string(core::hash_text(joined));
}

std::string index_of(std::uint64_t version,
                     const std::vector<std::string>& values)
{
    return std::to_string(version) + ' ' + digest_of(values) + ' ';
}

void damage(core::message& message)
{
    if (auto* part = std::get_if<core::document_part>(&message))
    {
        part->text += '!';
    }
    else if (auto* received = std::get_if<core::list_copy>(&message))
    {
        received->text.insert(received->text.size() / 2, "!");
    }
}

/// Stands for the check that config::join_document() does for the control
/// plane: the parts must match the digest in the index.
bool is_valid(const core::raw_document& document)
{
    return !document.values.empty() && document.values[0].starts_with(index_of(
                                           document.version, document.values));
}

} // namespace

spread_fleet::spread_fleet(const options& initial_options)
    : fleet_options(initial_options), random(initial_options.seed),
      instances(initial_options.instances)
{
    for (std::size_t instance = 0; instance < this->instances.size();
         ++instance)
    {
        simulated_instance& state = this->instances[instance];
        state.id = {"entry-" + std::to_string(1000 + instance), 0};
        state.data_centre =
            "dc-" + std::to_string(instance % this->fleet_options.data_centres);
        this->index_by_name.emplace(state.id.name, instance);
        this->start(instance);
    }
    this->publish_list();
    this->publish_document();
}

double spread_fleet::random_fraction()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

void spread_fleet::start(std::size_t instance)
{
    simulated_instance& state = this->instances[instance];
    ++state.id.incarnation;
    state.logic = std::make_unique<core::spread>(
        core::spread_settings{state.id, state.data_centre, this->random()},
        this->clock);
    state.max_document_version = 0;
    state.max_list_version = 0;
    state.next_watch = this->clock;
}

void spread_fleet::restart(std::size_t instance)
{
    this->start(instance);
}

void spread_fleet::stop(std::size_t instance, bool stopped)
{
    this->instances[instance].stopped = stopped;
}

void spread_fleet::publish_document()
{
    auto new_document = std::make_shared<core::raw_document>();
    if (this->document)
    {
        *new_document = *this->document;
    }
    else
    {
        new_document->values.assign(
            this->fleet_options.parts + 1,
            std::string(this->fleet_options.part_bytes, 'x'));
    }
    ++new_document->version;
    const std::string version_text =
        std::to_string(new_document->version) + ' ';
    const bool one_part = this->fleet_options.changed_bytes != 0;
    std::string& changed_part =
        new_document->values[1 + (one_part ? 0
                                           : new_document->version %
                                                 this->fleet_options.parts)];
    changed_part.resize(
        std::max(changed_part.size(), this->fleet_options.changed_bytes), 'x');
    changed_part.replace(0, version_text.size(), version_text);
    new_document->values[0] =
        index_of(new_document->version, new_document->values) +
        std::string(this->fleet_options.index_bytes * this->fleet_options.parts,
                    'i');
    this->old_document = std::exchange(this->document, std::move(new_document));
}

void spread_fleet::publish_list(const std::set<std::size_t>& absent,
                                const std::set<std::size_t>& leaving)
{
    this->old_list = this->list;
    ++this->list.version;
    this->list.instances.clear();
    for (std::size_t instance = 0; instance < this->instances.size();
         ++instance)
    {
        const simulated_instance& state = this->instances[instance];
        if (!absent.contains(instance))
        {
            this->list.instances.push_back({state.id.name, "10.0.0.1", 7000,
                                            state.data_centre, "region",
                                            leaving.contains(instance)});
        }
    }
}

void spread_fleet::run(core::duration time)
{
    const core::time_point end = this->clock + time;
    while (this->clock < end)
    {
        this->run_step();
    }
}

bool spread_fleet::run_until_converged(core::duration limit)
{
    const core::time_point end = this->clock + limit;
    while (!this->is_converged() && this->clock < end)
    {
        this->run_step();
    }
    return this->is_converged();
}

void spread_fleet::run_step()
{
    this->clock += step_interval;
    const core::time_point end = this->clock;
    while (!this->in_flight.empty() && this->in_flight.begin()->first <= end)
    {
        const auto earliest = this->in_flight.extract(this->in_flight.begin());
        this->clock = earliest.key();
        this->deliver(earliest.mapped());
    }
    this->clock = end;
    for (std::size_t instance = 0; instance < this->instances.size();
         ++instance)
    {
        if (this->instances[instance].stopped)
        {
            continue;
        }
        core::outbox out = this->instances[instance].logic->tick(this->clock);
        this->read_platform(instance, out);
        this->accept_received(instance, out);
        this->send(instance, std::move(out));
    }
}

void spread_fleet::deliver(const delivery& arrived)
{
    simulated_instance& receiver = this->instances[arrived.receiver];
    if (receiver.stopped)
    {
        return;
    }
    core::outbox out = std::visit(
        [this, &receiver, &arrived](const auto& body) -> core::outbox
        {
            if constexpr (requires {
                              receiver.logic->receive(arrived.sender_id, body,
                                                      this->clock);
                          })
            {
                return receiver.logic->receive(arrived.sender_id, body,
                                               this->clock);
            }
            else
            {
                return {};
            }
        },
        arrived.message);
    this->accept_received(arrived.receiver, out);
    this->send(arrived.receiver, std::move(out));
}

// Validates and accepts what peers have sent, as the control plane does.
void spread_fleet::accept_received(std::size_t instance, core::outbox& out)
{
    core::spread& logic = *this->instances[instance].logic;
    if (const auto received_document = logic.take_document())
    {
        if (is_valid(*received_document))
        {
            logic.accept_document(received_document, this->clock, out);
        }
        else
        {
            logic.reject_document(this->clock);
        }
    }
    logic.take_list();
    this->check_versions(instance);
}

void spread_fleet::read_platform(std::size_t instance, core::outbox& out)
{
    simulated_instance& state = this->instances[instance];
    if (this->faults.platform_unavailable ||
        !state.logic->should_watch(this->clock))
    {
        return;
    }
    if (this->faults.platform_stale && this->old_document)
    {
        state.logic->accept_document(this->old_document, this->clock, out);
        state.logic->accept_list(this->old_list, this->clock, out);
        return;
    }
    const bool newer_document =
        this->document->version > state.logic->document_version();
    const bool newer_list = this->list.version > state.logic->list_version();
    if (this->clock >= state.next_watch)
    {
        this->platform_reads += 2; // the watches of document and list
        state.next_watch = this->clock + watch_interval;
    }
    if (newer_document)
    {
        this->platform_reads += 2; // the changed part and the next watch
        state.logic->accept_document(this->document, this->clock, out);
    }
    if (newer_list)
    {
        this->platform_reads += 1;
        state.logic->accept_list(this->list, this->clock, out);
    }
}

void spread_fleet::check_versions(std::size_t instance)
{
    simulated_instance& state = this->instances[instance];
    const std::uint64_t document = state.logic->document_version();
    const std::uint64_t list = state.logic->list_version();
    this->reverted = this->reverted || document < state.max_document_version ||
                     list < state.max_list_version;
    state.max_document_version = document;
    state.max_list_version = list;
}

void spread_fleet::send(std::size_t sender, core::outbox&& messages)
{
    for (core::outgoing& outgoing : messages)
    {
        if (this->on_send)
        {
            this->on_send(sender, outgoing);
        }
        if (outgoing.to.empty())
        {
            for (std::size_t seed = 0;
                 seed < std::min(seed_count, this->instances.size()); ++seed)
            {
                this->queue(sender, seed, outgoing.message);
            }
            continue;
        }
        const auto receiver = this->index_by_name.find(outgoing.to);
        if (receiver != this->index_by_name.end())
        {
            this->queue(sender, receiver->second, outgoing.message);
        }
    }
}

void spread_fleet::queue(std::size_t sender,
                         std::size_t receiver,
                         const core::message& message)
{
    if (sender == receiver || this->faults.cuts.contains({sender, receiver}) ||
        this->random_fraction() < this->faults.loss)
    {
        return;
    }
    const int copies = this->random_fraction() < this->faults.repeat ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        const core::duration delay(static_cast<core::duration::rep>(
            this->random_fraction() *
            static_cast<double>(this->faults.max_delay.count())));
        delivery pending{sender, this->instances[sender].id, receiver, message};
        if (this->random_fraction() < this->faults.damage)
        {
            damage(pending.message);
        }
        this->in_flight.emplace(this->clock + std::chrono::microseconds(200) +
                                    delay,
                                std::move(pending));
    }
}

bool spread_fleet::is_converged() const
{
    for (const simulated_instance& state : this->instances)
    {
        if (!state.stopped &&
            (state.logic->document_version() != this->document->version ||
             state.logic->list_version() != this->list.version))
        {
            return false;
        }
    }
    return true;
}

bool spread_fleet::has_reverted() const
{
    return this->reverted;
}

std::size_t spread_fleet::watching() const
{
    std::size_t count = 0;
    for (const simulated_instance& state : this->instances)
    {
        count +=
            !state.stopped && state.logic->should_watch(this->clock) ? 1 : 0;
    }
    return count;
}

std::size_t spread_fleet::size() const
{
    return this->instances.size();
}

std::uint64_t spread_fleet::document_version(std::size_t instance) const
{
    return this->instances[instance].logic->document_version();
}

core::duration spread_fleet::now() const
{
    return this->clock.time_since_epoch();
}

} // namespace medlarbarrow::standin
