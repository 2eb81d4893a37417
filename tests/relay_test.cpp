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

constexpr std::chrono::seconds patience{30};

/// A client and a server with a relay between them.
class relayed_connection : public testing::Test
{
protected:
    void SetUp() override
    {
        tcp::acceptor acceptor(
            this->context,
            tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        auto made = standin::relay::create(
            this->context, {"127.0.0.1", 0},
            {"127.0.0.1", acceptor.local_endpoint().port()});
        ASSERT_TRUE(made);
        this->between = std::move(*made);
        this->client.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                           this->between->port()));
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
    bool wait_for(Condition done)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            this->context.run_for(std::chrono::milliseconds(5));
            this->context.restart();
        }
        return done();
    }

    bool arrives(tcp::socket& from, tcp::socket& to, const std::string& text)
    {
        asio::write(from, asio::buffer(text));
        return this->receives(to, text);
    }

    bool receives(tcp::socket& to, const std::string& text)
    {
        std::string got;
        to.non_blocking(true);
        this->wait_for(
            [&to, &got, &text]
            {
                std::array<char, 64> bytes{};
                boost::system::error_code error;
                got.append(bytes.data(),
                           to.read_some(asio::buffer(bytes), error));
                return got.size() >= text.size() || error == asio::error::eof;
            });
        return got == text;
    }

    /// False while nothing gets through although the relay has run.
    bool has_input(tcp::socket& to)
    {
        this->context.run_for(std::chrono::milliseconds(50));
        this->context.restart();
        return to.available() != 0;
    }

    asio::io_context context;
    std::unique_ptr<standin::relay> between;
    tcp::socket client{this->context};
    tcp::socket server{this->context};
};

} // namespace

// Guards against tests of cuts that pass because nothing is ever forwarded.
TEST_F(relayed_connection, forwards_both_ways)
{
    EXPECT_TRUE(this->arrives(this->client, this->server, "request"));
    EXPECT_TRUE(this->arrives(this->server, this->client, "answer"));
    EXPECT_EQ(this->between->counts().bytes_to_target, 7U);
    EXPECT_EQ(this->between->counts().bytes_to_client, 6U);
}

// Guards against a one-way cut that also stops the other direction.
TEST_F(relayed_connection, cuts_one_direction_until_told_otherwise)
{
    this->between->set_cut({true, false});
    asio::write(this->client, asio::buffer(std::string("held")));
    EXPECT_FALSE(this->has_input(this->server));
    EXPECT_TRUE(this->arrives(this->server, this->client, "answer"));
    this->between->set_cut({});
    EXPECT_TRUE(this->receives(this->server, "held"));
}

// Guards against a cut that shows itself by a closed connection.
TEST_F(relayed_connection, keeps_a_cut_connection_open_and_silent)
{
    this->between->set_cut({true, true});
    this->server.close();
    EXPECT_FALSE(this->has_input(this->client));
    EXPECT_EQ(this->between->counts().open, 1U);
    this->between->set_cut({});
    EXPECT_TRUE(this->wait_for(
        [this]
        {
            return this->between->counts().open == 0;
        }));
}
