/// Test double of the users' store: a key-value service over HTTP that clients
/// list in pages and watch by long polls, with faults that can be switched on
/// and off while it runs.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarbarrow::standin
{

/// Faults and limits that a test can set.
struct store_faults
{
    bool away = false;        ///< closes every connection without a response
    bool silent = false;      ///< accepts requests but never answers
    unsigned status = 0;      ///< answers every request with it; 0: normally
    std::size_t page = 500;   ///< most items in one page of a listing
    bool twice = false;       ///< writes each answer twice
    bool again_later = false; ///< writes each answer again before the next one
    bool unframed = false;    ///< answers end with their connection
    /// Answers to listings of this prefix are sent so much later. They say
    /// what the store had when it was asked.
    std::string late_prefix;
    std::chrono::milliseconds lateness{0};
    /// Closes the connection after so many bytes of an answer.
    std::optional<std::size_t> cut;
    /// Values of the era header, one header for each, in place of the true one.
    std::optional<std::vector<std::string>> era_headers;
};

/// Requests received.
struct store_counts
{
    std::uint64_t listings = 0;
    std::uint64_t watches = 0;
};

/// Serves on its own thread, on a free port of 127.0.0.1.
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

    /// Drops the history of changes: watches that start at an earlier revision
    /// get status 410.
    void drop_history();

    /// Comes back from an older copy: what was written after the revision is
    /// gone, and its revisions are given out again. Watches that start at a
    /// revision that does not exist any more get status 410.
    void go_back(std::uint64_t to_revision);

    /// Copies the content for restore_copy().
    void make_copy();

    /// Comes back from the last copy, as a new era: what was written since then
    /// is gone, and its revisions are given out again. All answers tell the era
    /// from the first one on. Watches that wait are ended with status 410 if
    /// they started at a revision that does not exist any more.
    void restore_copy();

    /// Revision of the last change.
    std::uint64_t revision() const;

    /// Number of the era, from 1 on.
    std::uint64_t era() const;

    void set_faults(const store_faults& faults);
    store_counts counts() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace medlarbarrow::standin
