/// Stand-in for the users' store: a key-value service over HTTP that can be
/// listed in pages and watched, with faults that can be switched while it runs.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace medlarbarrow::standin
{

struct store_faults
{
    bool away = false;      ///< ends every connection without an answer
    bool silent = false;    ///< accepts calls and answers nothing
    unsigned status = 0;    ///< answers every call with it, 0: as usual
    std::size_t page = 500; ///< items of one listing
};

struct store_counts
{
    std::uint64_t listings = 0;
    std::uint64_t watches = 0;
};

/// Serves on a thread of its own, at 127.0.0.1.
class store
{
public:
    store();
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    std::uint16_t port() const;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// Forgets what has changed until now: watches from before get 410.
    void drop_history();

    void set_faults(const store_faults& faults);
    store_counts counts() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace medlarbarrow::standin
