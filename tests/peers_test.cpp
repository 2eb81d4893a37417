#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <gtest/gtest.h>
#include <medlarbarrow/net/codec.hpp>
#include <medlarbarrow/net/peer_link.hpp>
#include <medlarbarrow/net/peers.hpp>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <standin/relay.hpp>
#include <unistd.h>

using namespace medlarbarrow;
using core::result_code;
namespace asio = boost::asio;

namespace
{

constexpr std::chrono::seconds wait_timeout{30};
const char* const fleet_secret = "a fleet secret for tests only";

std::string write_file(const std::string& name, const std::string& text)
{
    const std::string path = testing::TempDir() + "peers_test_" +
                             std::to_string(::getpid()) + "_" + name;
    std::ofstream(path) << text;
    return path;
}

/// One instance under test and the messages it has received.
struct instance
{
    core::instance_id id;
    std::unique_ptr<net::peers> links;
    std::vector<std::pair<core::instance_id, core::message>> inbox;
};

/// Settings with a free port and a file that contains `secret`.
config::settings settings_with(const std::string& secret)
{
    config::settings settings;
    settings.peers = {"127.0.0.1", 0};
    settings.fleet_secret_file = write_file(secret.substr(0, 1), secret);
    return settings;
}

/// Given an io_context that runs the links of all instances of a test.
class peer_links : public testing::Test
{
protected:
    std::unique_ptr<instance> start(const std::string& name,
                                    std::uint64_t incarnation,
                                    const config::settings& settings)
    {
        auto started = std::make_unique<instance>();
        started->id = {name, incarnation};
        auto links = net::peers::create(
            this->context, settings, started->id,
            [target = started.get()](const core::instance_id& from,
                                     core::message&& received)
            {
                target->inbox.emplace_back(from, std::move(received));
            });
        EXPECT_TRUE(links) << (links ? "" : links.error().message());
        started->links = std::move(*links);
        return started;
    }

    std::unique_ptr<instance> start(const std::string& name,
                                    std::uint64_t incarnation = 100)
    {
        return this->start(name, incarnation, settings_with(fleet_secret));
    }

    static core::instance_list list(std::vector<const instance*> members)
    {
        core::instance_list members_list{1, {}};
        for (const instance* member : members)
        {
            members_list.instances.push_back({member->id.name, "127.0.0.1",
                                              member->links->port(), "dc", "r",
                                              false});
        }
        return members_list;
    }

    /// Gives every member the list of all members.
    static void set_list_of_all(std::vector<const instance*> members)
    {
        for (const instance* member : members)
        {
            member->links->set_instances(list(members));
        }
    }

    /// Runs the context until `done` returns true or the timeout expires. Calls
    /// `repeat` in each step, as the protocols repeat their messages.
    template <class Condition, class Repeat>
    bool wait_for(Condition done, Repeat repeat)
    {
        const auto end = std::chrono::steady_clock::now() + wait_timeout;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            repeat();
            this->context.run_for(std::chrono::milliseconds(20));
            this->context.restart();
        }
        return done();
    }

    template <class Condition>
    bool wait_for(Condition done)
    {
        return this->wait_for(done, [] {});
    }

    asio::io_context context;
};

core::outgoing to(const std::string& name, core::message body)
{
    return {name, std::move(body)};
}

/// Creates a self-signed certificate that is its own authority.
config::tls_files make_certificate()
{
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* certificate = X509_new();
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
    X509_set_pubkey(certificate, key);
    X509_NAME* name = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>("fleet"),
                               -1, -1, 0);
    X509_set_issuer_name(certificate, name);
    X509_sign(certificate, key, EVP_sha256());
    const std::string certificate_file = write_file("certificate", "");
    const std::string key_file = write_file("key", "");
    FILE* file = std::fopen(certificate_file.c_str(), "w");
    PEM_write_X509(file, certificate);
    std::fclose(file);
    file = std::fopen(key_file.c_str(), "w");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
    return {certificate_file, key_file, certificate_file};
}

/// Given two instances that have each other in their lists.
class two_listed_instances : public peer_links
{
protected:
    void SetUp() override
    {
        this->first = this->start("first");
        this->second = this->start("second");
        set_list_of_all({this->first.get(), this->second.get()});
    }

    std::unique_ptr<instance> first;
    std::unique_ptr<instance> second;
};

/// Given, besides, that the first reaches the second over connections that a
/// test can reset.
class two_instances_with_a_relay : public two_listed_instances
{
protected:
    void SetUp() override
    {
        two_listed_instances::SetUp();
        auto created =
            standin::relay::create(this->context, {"127.0.0.1", 0},
                                   {"127.0.0.1", this->second->links->port()});
        ASSERT_TRUE(created);
        this->between = std::move(*created);
        core::instance_list seen =
            list({this->first.get(), this->second.get()});
        seen.version = 2;
        seen.instances.at(1).peer_port = this->between->port();
        this->first->links->set_instances(seen);
    }

    /// Sends a message, and again while there is no link, and resets the
    /// connection when that many bytes have passed.
    void send_and_reset(const core::document_part& message, std::uint64_t bytes)
    {
        const std::uint64_t end =
            this->between->counts().bytes_to_target + bytes;
        const auto give_up = std::chrono::steady_clock::now() + wait_timeout;
        this->first->links->send(to("second", message));
        while (this->between->counts().bytes_to_target < end &&
               std::chrono::steady_clock::now() < give_up)
        {
            this->context.restart();
            this->context.run_one_for(std::chrono::milliseconds(20));
            if (this->first->links->counters().links_open == 0)
            {
                this->first->links->send(to("second", message));
            }
        }
        this->between->reset_connections();
        this->context.restart();
        this->context.run_for(std::chrono::milliseconds(20));
    }

    std::unique_ptr<standin::relay> between;
};

} // namespace

// Guards against messages that are lost, reordered or sent over two links in a
// fault-free network.
TEST_F(two_listed_instances, exchange_messages_in_order_over_one_link)
{
    for (std::uint64_t version = 1; version <= 500; ++version)
    {
        this->first->links->send(to("second", core::document_pull{version}));
    }
    ASSERT_TRUE(this->wait_for(
        [this]
        {
            return this->second->inbox.size() == 500;
        }));
    for (std::size_t index = 0; index < 500; ++index)
    {
        const auto& [from, body] = this->second->inbox.at(index);
        EXPECT_EQ(from, this->first->id);
        EXPECT_EQ(std::get<core::document_pull>(body).held_version, index + 1);
    }
    const std::string large(1'000'000, 'x');
    this->second->links->send(to("first", core::document_part{7, 0, 1, large}));
    ASSERT_TRUE(this->wait_for(
        [this]
        {
            return this->first->inbox.size() == 1;
        }));
    EXPECT_EQ(std::get<core::document_part>(this->first->inbox[0].second).text,
              large);
    EXPECT_EQ(this->first->links->counters().links_open, 1U);
    EXPECT_EQ(this->second->links->counters().links_open, 1U);
    EXPECT_EQ(this->second->links->counters().received.at(14).messages, 500U);
    EXPECT_EQ(this->second->links->counters().refused, 0U);
}

// Guards against unbounded memory use if a peer does not read: the send queue
// must drop messages when it is full.
TEST_F(two_listed_instances, a_full_queue_drops_the_newest_message)
{
    constexpr std::uint64_t sent = 5000;
    for (std::uint64_t version = 1; version <= sent; ++version)
    {
        this->first->links->send(to("second", core::document_pull{version}));
    }
    const auto dropped = this->first->links->counters().dropped_queue_full;
    EXPECT_GT(dropped, 0U);
    ASSERT_TRUE(this->wait_for(
        [this, dropped]
        {
            return this->second->inbox.size() == sent - dropped;
        }));
    const auto& newest = this->second->inbox.back().second;
    EXPECT_EQ(std::get<core::document_pull>(newest).held_version,
              sent - dropped);
}

// Guards against an old process that still influences decisions after a new
// incarnation has replaced it.
TEST_F(two_listed_instances, messages_of_an_older_incarnation_are_refused)
{
    auto newer = this->start("first", 101);
    newer->links->set_instances(list({this->second.get()}));
    newer->links->send(to("second", core::document_pull{1}));
    ASSERT_TRUE(this->wait_for(
        [this]
        {
            return this->second->inbox.size() == 1;
        }));
    this->first->links->send(to("second", core::document_pull{2}));
    EXPECT_TRUE(this->wait_for(
        [this]
        {
            return this->second->links->counters().refused == 1;
        }));
    EXPECT_EQ(this->second->inbox.size(), 1U);
}

// Guards against an instance that waits forever for a peer that has ended,
// instead of reconnecting after its restart.
TEST_F(two_listed_instances, a_restarted_peer_is_reached_again)
{
    config::settings settings = settings_with(fleet_secret);
    settings.peers.port = this->second->links->port();
    this->first->links->send(to("second", core::document_pull{1}));
    ASSERT_TRUE(this->wait_for(
        [this]
        {
            return this->second->inbox.size() == 1;
        }));
    this->second.reset();
    this->context.run_for(std::chrono::milliseconds(50));
    this->context.restart();
    this->second = this->start("second", 200, settings);
    this->second->links->set_instances(list({this->first.get()}));
    EXPECT_TRUE(this->wait_for(
        [this]
        {
            return !this->second->inbox.empty();
        },
        [this]
        {
            this->first->links->send(to("second", core::document_pull{2}));
        }));
}

// Guards against decisions that are influenced by an instance that is not in
// the list. An instance that joins while the platform is unavailable must still
// receive answers.
TEST_F(two_listed_instances,
       an_unlisted_instance_may_only_request_document_and_list)
{
    config::settings settings = settings_with(fleet_secret);
    settings.seeds = {{"127.0.0.1", this->first->links->port()}};
    auto joiner = this->start("joiner", 5, settings);
    joiner->links->send(to("", core::delegation_request{1, 1}));
    joiner->links->send(to("", core::hello{"dc", 0, 0, false}));
    ASSERT_TRUE(this->wait_for(
        [this]
        {
            return this->first->inbox.size() == 1 &&
                   this->first->links->counters().refused == 1;
        }));
    EXPECT_TRUE(
        std::holds_alternative<core::hello>(this->first->inbox[0].second));
    this->first->links->send(to("joiner", core::list_copy{1, "text"}));
    EXPECT_TRUE(this->wait_for(
        [&joiner]
        {
            return joiner->inbox.size() == 1;
        }));
}

// Guards against a joining instance that refuses the answers of its seed
// because the seed opened the first link between them.
TEST_F(two_listed_instances,
       messages_of_a_seed_are_accepted_over_a_link_that_it_opened)
{
    config::settings settings = settings_with(fleet_secret);
    settings.seeds = {{"127.0.0.1", this->first->links->port()}};
    auto joiner = this->start("joiner", 5, settings);
    this->first->links->set_instances(list({this->second.get(), joiner.get()}));
    this->first->links->send(to("joiner", core::hello{"dc", 1, 1, false}));
    ASSERT_TRUE(this->wait_for(
        [&joiner]
        {
            return joiner->inbox.size() == 1;
        }));
    joiner->links->send(to("", core::hello{"dc", 0, 0, false}));
    ASSERT_TRUE(this->wait_for(
        [this]
        {
            return this->first->inbox.size() == 1;
        }));
    this->first->links->send(to("joiner", core::list_copy{1, "text"}));
    EXPECT_TRUE(this->wait_for(
        [&joiner]
        {
            return joiner->inbox.size() == 2;
        }));
}

// Guards against links between two fleets and links with a process that does
// not have the secret.
TEST_F(two_listed_instances, a_peer_with_another_secret_is_refused)
{
    auto other = this->start("first", 999, settings_with("b different secret"));
    other->links->set_instances(list({this->second.get()}));
    other->links->send(to("second", core::hello{"dc", 1, 1, false}));
    EXPECT_TRUE(this->wait_for(
        [&other]
        {
            return other->links->counters().refused == 1;
        }));
    EXPECT_TRUE(this->second->inbox.empty());
    // The failed attempt must not be stored as a newer incarnation of "first".
    this->first->links->send(to("second", core::document_pull{2}));
    EXPECT_TRUE(this->wait_for(
        [this]
        {
            return this->second->inbox.size() == 1;
        }));
}

// Guards against a process that answers at the address of another instance with
// its own name.
TEST_F(two_listed_instances, a_peer_of_another_name_at_the_address_is_refused)
{
    core::instance_list wrong = list({this->second.get()});
    wrong.instances[0].name = "third";
    this->first->links->set_instances(wrong);
    this->first->links->send(to("third", core::document_pull{2}));
    EXPECT_TRUE(this->wait_for(
        [this]
        {
            return this->first->links->counters().refused == 1;
        }));
    EXPECT_TRUE(this->second->inbox.empty());
}

// Guards against messages that reach the decision logic although their sender
// is not the peer of the link, their format is newer or their bytes are
// damaged.
TEST_F(two_listed_instances, messages_that_fail_a_check_are_refused)
{
    auto identity = std::make_shared<net::link_identity>();
    identity->self = {"third", 7};
    identity->secret = fleet_secret;
    core::instance_list extended_list =
        list({this->first.get(), this->second.get()});
    extended_list.instances.push_back(
        {"third", "127.0.0.1", 9, "dc", "r", false});
    this->first->links->set_instances(extended_list);
    const auto ignore = [](auto&&...) {};
    auto link = net::peer_link::open(
        this->context, identity,
        {asio::ip::make_address("127.0.0.1"), this->first->links->port()}, "",
        {ignore, ignore, ignore});
    const core::message body = core::document_pull{1};
    auto newer = net::encode(identity->self, body).value();
    newer.at(1) = core::message_format + 1;
    ASSERT_TRUE(link->send(std::move(newer)));
    ASSERT_TRUE(link->send({0xFF, 0x00}));
    ASSERT_TRUE(link->send(net::encode({"second", 100}, body).value()));
    ASSERT_TRUE(link->send(net::encode(identity->self, body).value()));
    EXPECT_TRUE(this->wait_for(
        [this]
        {
            return this->first->inbox.size() == 1;
        }));
    EXPECT_EQ(this->first->links->counters().refused, 3U);
    EXPECT_EQ(this->first->inbox[0].first, identity->self);
    link->close({});
}

// Guards against arbitrary bytes on the listening port that terminate the
// process or prevent it from accepting links.
TEST_F(two_listed_instances, arbitrary_bytes_end_only_their_own_connection)
{
    asio::ip::tcp::socket socket(this->context);
    socket.connect(
        {asio::ip::make_address("127.0.0.1"), this->second->links->port()});
    asio::write(socket, asio::buffer(std::string(5000, '\xC1')));
    ASSERT_TRUE(this->wait_for(
        [this]
        {
            return this->second->links->counters().links_failed == 1;
        }));
    this->first->links->send(to("second", core::document_pull{2}));
    EXPECT_TRUE(this->wait_for(
        [this]
        {
            return this->second->inbox.size() == 1;
        }));
}

// Guards against a message that breaks off and is taken for a whole one: the
// connection is reset while the rest of it waits to be written.
TEST_F(two_instances_with_a_relay, deliver_no_message_that_broke_off)
{
    constexpr std::uint64_t cut_messages = 5;
    constexpr std::uint64_t whole_version = cut_messages + 1;
    const std::string text(1'000'000, 'x');
    for (std::uint64_t number = 1; number <= cut_messages; ++number)
    {
        this->send_and_reset({number, 0, 1, text}, 100'000 * number);
    }
    ASSERT_GE(this->between->counts().connections, cut_messages);
    ASSERT_TRUE(this->wait_for(
        [this]
        {
            return !this->second->inbox.empty();
        },
        [this, &text]
        {
            this->first->links->send(
                to("second", core::document_part{whole_version, 0, 1, text}));
        }));
    for (const auto& [from, body] : this->second->inbox)
    {
        const auto& part = std::get<core::document_part>(body);
        EXPECT_EQ(part.version, whole_version);
        EXPECT_TRUE(part.text == text);
    }
}

// Guards against links that stay open to instances that have left the list.
TEST_F(two_listed_instances, links_to_an_instance_that_left_are_closed)
{
    this->first->links->send(to("second", core::document_pull{1}));
    ASSERT_TRUE(this->wait_for(
        [this]
        {
            return this->second->inbox.size() == 1;
        }));
    this->first->links->set_instances({2, {}});
    EXPECT_EQ(this->first->links->counters().links_open, 0U);
    this->first->links->send(to("second", core::document_pull{2}));
    EXPECT_EQ(this->first->links->counters().dropped_unreachable, 1U);
}

// Guards against TLS that is configured but not used, and TLS that prevents
// links between instances with certificates.
TEST_F(peer_links, with_certificates_are_secured_and_refuse_plain_ones)
{
    config::settings settings = settings_with(fleet_secret);
    settings.peer_tls = make_certificate();
    auto first = this->start("first", 1, settings);
    auto second = this->start("second", 1, settings);
    auto plain = this->start("plain", 1);
    set_list_of_all({first.get(), second.get(), plain.get()});
    plain->links->send(to("second", core::document_pull{1}));
    first->links->send(to("second", core::document_pull{2}));
    ASSERT_TRUE(this->wait_for(
        [&second, &plain]
        {
            return second->inbox.size() == 1 &&
                   plain->links->counters().links_failed == 1;
        }));
    EXPECT_EQ(second->inbox[0].first, first->id);
}

// Guards against a fleet that runs without a secret or with one that is too
// short.
TEST_F(peer_links, without_a_valid_secret_do_not_start)
{
    const auto ignore = [](const core::instance_id&, core::message&&) {};
    config::settings settings = settings_with("short");
    auto links = net::peers::create(this->context, settings, {"a", 1}, ignore);
    ASSERT_FALSE(links);
    EXPECT_EQ(links.error(), result_code::settings_invalid);
    settings.fleet_secret_file += ".absent";
    links = net::peers::create(this->context, settings, {"a", 1}, ignore);
    ASSERT_FALSE(links);
    EXPECT_EQ(links.error(), result_code::file_unreadable);
}
