#include <medlarbarrow/core/hash.hpp>
#include <standin/spread_fleet.hpp>

namespace medlarbarrow::standin
{

namespace
{

constexpr core::duration step_time = std::chrono::milliseconds(50);
constexpr core::duration watch_time = std::chrono::seconds(30);
constexpr std::size_t seeds = 2;

std::string digest_of(const std::vector<std::string>& values)
{
    std::string all;
    for (std::size_t part = 1; part < values.size(); ++part)
    {
        all += values[part];
    }
    return std::to_string(core::hash_text(all));
}

std::string index_of(std::uint64_t version,
                     const std::vector<std::string>& values)
{
    return std::to_string(version) + ' ' + digest_of(values) + ' ';
}

void damage(core::message& source)
{
    if (auto* part = std::get_if<core::document_part>(&source))
    {
        part->text += '!';
    }
    else if (auto* copy = std::get_if<core::list_copy>(&source))
    {
        copy->text.insert(copy->text.size() / 2, "!");
    }
}

/// What the control plane does with config::join_document().
bool is_valid(const core::raw_document& copy)
{
    return !copy.values.empty() &&
           copy.values[0].starts_with(index_of(copy.version, copy.values));
}

} // namespace

spread_fleet::spread_fleet(const shape& wanted)
    : form(wanted), random(wanted.seed), members(wanted.instances)
{
    for (std::size_t instance = 0; instance < this->members.size(); ++instance)
    {
        member& item = this->members[instance];
        item.id = {"entry-" + std::to_string(1000 + instance), 0};
        item.data_centre =
            "dc-" + std::to_string(instance % this->form.data_centres);
        this->by_name.emplace(item.id.name, instance);
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
    member& item = this->members[instance];
    ++item.id.incarnation;
    item.logic = std::make_unique<core::spread>(
        core::spread_settings{item.id, item.data_centre, this->random()},
        this->clock);
    item.greatest_document = 0;
    item.greatest_list = 0;
    item.next_read = this->clock;
}

void spread_fleet::restart(std::size_t instance)
{
    this->start(instance);
}

void spread_fleet::stop(std::size_t instance, bool stopped)
{
    this->members[instance].stopped = stopped;
}

void spread_fleet::publish_document()
{
    auto next = std::make_shared<core::raw_document>();
    if (this->document)
    {
        *next = *this->document;
    }
    else
    {
        next->values.assign(this->form.parts + 1,
                            std::string(this->form.part_bytes, 'x'));
    }
    ++next->version;
    const std::string mark = std::to_string(next->version) + ' ';
    const bool one_part = this->form.changed_bytes != 0;
    std::string& changed =
        next->values[1 + (one_part ? 0 : next->version % this->form.parts)];
    changed.resize(std::max(changed.size(), this->form.changed_bytes), 'x');
    changed.replace(0, mark.size(), mark);
    next->values[0] =
        index_of(next->version, next->values) +
        std::string(this->form.index_bytes * this->form.parts, 'i');
    this->old_document = std::exchange(this->document, std::move(next));
}

void spread_fleet::publish_list(const std::set<std::size_t>& absent,
                                const std::set<std::size_t>& leaving)
{
    this->old_list = this->list;
    ++this->list.version;
    this->list.instances.clear();
    for (std::size_t instance = 0; instance < this->members.size(); ++instance)
    {
        const member& item = this->members[instance];
        if (!absent.contains(instance))
        {
            this->list.instances.push_back({item.id.name, "10.0.0.1", 7000,
                                            item.data_centre, "region",
                                            leaving.contains(instance)});
        }
    }
}

void spread_fleet::run(core::duration time)
{
    const core::time_point end = this->clock + time;
    while (this->clock < end)
    {
        this->step();
    }
}

bool spread_fleet::run_until_equal(core::duration limit)
{
    const core::time_point end = this->clock + limit;
    while (!this->is_equal() && this->clock < end)
    {
        this->step();
    }
    return this->is_equal();
}

void spread_fleet::step()
{
    this->clock += step_time;
    const core::time_point end = this->clock;
    while (!this->in_flight.empty() && this->in_flight.begin()->first <= end)
    {
        const auto first = this->in_flight.extract(this->in_flight.begin());
        this->clock = first.key();
        this->deliver(first.mapped());
    }
    this->clock = end;
    for (std::size_t instance = 0; instance < this->members.size(); ++instance)
    {
        if (this->members[instance].stopped)
        {
            continue;
        }
        core::outbox out = this->members[instance].logic->tick(this->clock);
        this->read_platform(instance, out);
        this->settle(instance, out);
        this->send(instance, std::move(out));
    }
}

void spread_fleet::deliver(const delivery& item)
{
    member& target = this->members[item.to];
    if (target.stopped)
    {
        return;
    }
    core::outbox out = std::visit(
        [this, &target, &item](const auto& body) -> core::outbox
        {
            if constexpr (requires {
                              target.logic->receive(item.sender, body,
                                                    this->clock);
                          })
            {
                return target.logic->receive(item.sender, body, this->clock);
            }
            else
            {
                return {};
            }
        },
        item.message);
    this->settle(item.to, out);
    this->send(item.to, std::move(out));
}

// Checks what came from peers, as the control plane does.
void spread_fleet::settle(std::size_t instance, core::outbox& out)
{
    core::spread& logic = *this->members[instance].logic;
    if (const auto arrived = logic.take_document())
    {
        if (is_valid(*arrived))
        {
            logic.accept_document(arrived, this->clock, out);
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
    member& item = this->members[instance];
    if (this->faults.platform_away || !item.logic->should_watch(this->clock))
    {
        return;
    }
    if (this->faults.platform_old && this->old_document)
    {
        item.logic->accept_document(this->old_document, this->clock, out);
        item.logic->accept_list(this->old_list, this->clock, out);
        return;
    }
    const bool newer_document =
        this->document->version > item.logic->document_version();
    const bool newer_list = this->list.version > item.logic->list_version();
    if (this->clock >= item.next_read)
    {
        this->platform_reads += 2; // both watches begin
        item.next_read = this->clock + watch_time;
    }
    if (newer_document)
    {
        this->platform_reads += 2; // the changed part, and the next watch
        item.logic->accept_document(this->document, this->clock, out);
    }
    if (newer_list)
    {
        this->platform_reads += 1;
        item.logic->accept_list(this->list, this->clock, out);
    }
}

void spread_fleet::check_versions(std::size_t instance)
{
    member& item = this->members[instance];
    const std::uint64_t document = item.logic->document_version();
    const std::uint64_t list = item.logic->list_version();
    this->reverted = this->reverted || document < item.greatest_document ||
                     list < item.greatest_list;
    item.greatest_document = document;
    item.greatest_list = list;
}

void spread_fleet::send(std::size_t from, core::outbox&& items)
{
    for (core::outgoing& item : items)
    {
        if (this->on_send)
        {
            this->on_send(from, item);
        }
        if (item.to.empty())
        {
            for (std::size_t seed = 0;
                 seed < std::min(seeds, this->members.size()); ++seed)
            {
                this->queue(from, seed, item.message);
            }
            continue;
        }
        const auto target = this->by_name.find(item.to);
        if (target != this->by_name.end())
        {
            this->queue(from, target->second, item.message);
        }
    }
}

void spread_fleet::queue(std::size_t from,
                         std::size_t to,
                         const core::message& message)
{
    if (from == to || this->faults.cuts.contains({from, to}) ||
        this->random_fraction() < this->faults.loss)
    {
        return;
    }
    const int copies = this->random_fraction() < this->faults.repeat ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        const core::duration delay(static_cast<core::duration::rep>(
            this->random_fraction() *
            static_cast<double>(this->faults.greatest_delay.count())));
        delivery item{from, this->members[from].id, to, message};
        if (this->random_fraction() < this->faults.damage)
        {
            damage(item.message);
        }
        this->in_flight.emplace(this->clock + std::chrono::microseconds(200) +
                                    delay,
                                std::move(item));
    }
}

bool spread_fleet::is_equal() const
{
    for (const member& item : this->members)
    {
        if (!item.stopped &&
            (item.logic->document_version() != this->document->version ||
             item.logic->list_version() != this->list.version))
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
    for (const member& item : this->members)
    {
        count += !item.stopped && item.logic->should_watch(this->clock) ? 1 : 0;
    }
    return count;
}

std::size_t spread_fleet::size() const
{
    return this->members.size();
}

std::uint64_t spread_fleet::document_version(std::size_t instance) const
{
    return this->members[instance].logic->document_version();
}

core::duration spread_fleet::now() const
{
    return this->clock.time_since_epoch();
}

} // namespace medlarbarrow::standin
