#include <boost/asio/ssl.hpp>
#include <cstdio>
#include <filesystem>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <tests/entry_fixture.hpp>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

namespace
{

/// A self-signed certificate and its key in two PEM files.
config::tls_files write_certificate(const std::filesystem::path& folder)
{
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
        EVP_EC_gen("P-256"), EVP_PKEY_free);
    const std::unique_ptr<X509, decltype(&X509_free)> made(X509_new(),
                                                           X509_free);
    ASN1_INTEGER_set(X509_get_serialNumber(made.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(made.get()), 3600);
    X509_set_pubkey(made.get(), key.get());
    X509_sign(made.get(), key.get(), EVP_sha256());
    config::tls_files files;
    files.certificate_file = folder / "certificate.pem";
    files.key_file = folder / "key.pem";
    std::FILE* file = std::fopen(files.certificate_file.c_str(), "w");
    PEM_write_X509(file, made.get());
    std::fclose(file);
    file = std::fopen(files.key_file.c_str(), "w");
    PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr,
                         nullptr);
    std::fclose(file);
    return files;
}

class entry_with_tls : public entry_fixture
{
protected:
    void SetUp() override
    {
        std::string name = ::testing::TempDir() + "entry_tls_XXXXXX";
        ASSERT_NE(::mkdtemp(name.data()), nullptr);
        this->folder = name;
        this->settings.caller_tls = write_certificate(this->folder);
        this->start();
    }

    void TearDown() override
    {
        std::filesystem::remove_all(this->folder);
    }

    std::filesystem::path folder;
};

} // namespace

// Guards against answers that are cut or crossed inside TLS, and against a
// large answer whose write runs beside the outstanding read.
TEST_F(entry_with_tls, serves_requests_over_one_connection)
{
    asio::io_context client;
    asio::ssl::context context(asio::ssl::context::tls_client);
    asio::ssl::stream<tcp::socket> stream(client, context);
    stream.next_layer().connect(
        {asio::ip::address_v4::loopback(), this->port()});
    stream.handshake(asio::ssl::stream_base::client);
    boost::beast::flat_buffer input;
    for (const std::size_t size : {1000U, 3000000U, 1000U})
    {
        asio::write(stream, asio::buffer(get("/reports/1?bytes=" +
                                             std::to_string(size))));
        http::response<http::string_body> message;
        http::read(stream, input, message);
        EXPECT_EQ(message.result_int(), 200U);
        EXPECT_EQ(message.body().size(), size);
    }
}

// Guards against a start that ignores certificate files it cannot read.
TEST_F(entry_with_tls, needs_readable_certificate_files)
{
    config::settings broken = this->settings;
    broken.caller_tls->key_file += ".absent";
    const auto made = net::entry::create(this->io, broken, *this->node,
                                         [](core::outbox&&) {});
    ASSERT_FALSE(made);
    EXPECT_EQ(made.error(), core::result_code::settings_invalid);
}
