#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <standin/relay.hpp>

using namespace medlarbarrow;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::seconds wait_limit{30};

/// A client connected to a server through a relay.
class a_relayed_connection : public testing::Test
{
protected:
    void SetUp() override
    {
        tcp::acceptor acceptor(
            this->context,
            tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        auto created = standin::relay::create(
            this->context, {"127.0.0.1", 0},
            {"127.0.0.1", acceptor.local_endpoint().port()});
        ASSERT_TRUE(created);
        this->relay = std::move(*created);
        this->client.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                           this->relay->port()));
        bool accepted = false;
        acceptor.async_accept(this->server,
                              [&accepted](const boost::system::error_code&)
                              {
                                  accepted = true;
                              });
        ASSERT_TRUE(this->wait_for(
            [&accepted]
            {
                return accepted;
            }));
    }

    template <class Condition>
    bool wait_for(Condition condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + wait_limit;
        while (!condition() && std::chrono::steady_clock::now() < deadline)
        {
            this->context.run_for(std::chrono::milliseconds(5));
            this->context.restart();
        }
        return condition();
    }

    /// Sends the text and returns whether exactly it arrives at the receiver.
    bool
    arrives(tcp::socket& sender, tcp::socket& receiver, const std::string& text)
    {
        asio::write(sender, asio::buffer(text));
        return this->receives(receiver, text);
    }

    bool receives(tcp::socket& receiver, const std::string& text)
    {
        std::string received;
        receiver.non_blocking(true);
        this->wait_for(
            [&receiver, &received, &text]
            {
                std::array<char, 64> bytes{};
                boost::system::error_code error;
                received.append(bytes.data(),
                                receiver.read_some(asio::buffer(bytes), error));
                return received.size() >= text.size() ||
                       error == asio::error::eof;
            });
        return received == text;
    }

    /// Lets the relay run for 50 ms; false if nothing has arrived by then.
    bool has_input(tcp::socket& receiver)
    {
        this->context.run_for(std::chrono::milliseconds(50));
        this->context.restart();
        return receiver.available() != 0;
    }

    asio::io_context context;
    std::unique_ptr<standin::relay> relay;
    tcp::socket client{this->context};
    tcp::socket server{this->context};
};

} // namespace

// Guards against a relay that never forwards anything: the tests of cuts would
// pass all the same.
TEST_F(a_relayed_connection, forwards_both_ways)
{
    EXPECT_TRUE(this->arrives(this->client, this->server, "request"));
    EXPECT_TRUE(this->arrives(this->server, this->client, "answer"));
    EXPECT_EQ(this->relay->counts().bytes_to_target, 7U);
    EXPECT_EQ(this->relay->counts().bytes_to_client, 6U);
}

// Guards against a one-way cut that also stops the other direction, or that
// loses the bytes sent during the cut.
TEST_F(a_relayed_connection, cuts_one_direction_until_the_cut_ends)
{
    this->relay->set_cut({true, false});
    asio::write(this->client, asio::buffer(std::string("held")));
    EXPECT_FALSE(this->has_input(this->server));
    EXPECT_TRUE(this->arrives(this->server, this->client, "answer"));
    this->relay->set_cut({});
    EXPECT_TRUE(this->receives(this->server, "held"));
}

// Guards against a cut that the client can notice: the server closes its end
// during the cut, and the relay must not close the client's end until later.
TEST_F(a_relayed_connection, keeps_a_cut_connection_open_and_silent)
{
    this->relay->set_cut({true, true});
    this->server.close();
    EXPECT_FALSE(this->has_input(this->client));
    EXPECT_EQ(this->relay->counts().open, 1U);
    this->relay->set_cut({});
    EXPECT_TRUE(this->wait_for(
        [this]
        {
            return this->relay->counts().open == 0;
        }));
}
