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

/// Writes a self-signed certificate and its key to two PEM files.
config::tls_files write_certificate(const std::filesystem::path& folder)
{
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
        EVP_EC_gen("P-256"), EVP_PKEY_free);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(),
                                                                  X509_free);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key.get());
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    config::tls_files files;
    files.certificate_file = folder / "certificate.pem";
    files.key_file = folder / "key.pem";
    std::FILE* file = std::fopen(files.certificate_file.c_str(), "w");
    PEM_write_X509(file, certificate.get());
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

// Guards against answers over TLS that are cut off or mixed up. A large answer
// is written while a read is outstanding on the same stream.
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

// Guards against an entry that starts although it cannot read the certificate
// files.
TEST_F(entry_with_tls, requires_readable_certificate_files)
{
    config::settings unreadable = this->settings;
    unreadable.caller_tls->key_file += ".absent";
    const auto created = net::entry::create(this->io, unreadable, *this->node,
                                            [](core::outbox&&) {});
    ASSERT_FALSE(created);
    EXPECT_EQ(created.error(), core::result_code::settings_invalid);
}
