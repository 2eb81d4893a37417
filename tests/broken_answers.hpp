/// Texts of answers that servers in trouble send.
#pragma once

#include <fmt/format.h>
#include <medlarbarrow/net/headers.hpp>
#include <standin/raw_server.hpp>
#include <string>
#include <vector>

namespace medlarbarrow::tests
{

/// How an answer tells where its body ends.
enum class framing
{
    length,
    chunks,
    until_close
};

/// Builds the texts of answers to a request, as a server of one HTTP interface
/// writes them.
class answer_texts
{
public:
    explicit answer_texts(net::http_interface interface_names)
        : names(std::move(interface_names))
    {
    }

    /// Head of an answer without its framing and its last, empty line.
    std::string head(std::string_view status = "200") const
    {
        std::string text = fmt::format("HTTP/1.1 {} Status\r\n{}: {}\r\n",
                                       status, this->names.request_id,
                                       standin::raw_server::request_id_mark);
        if (!this->names.success_mark.empty())
        {
            text += this->names.success_mark + ": valid\r\n";
        }
        return text;
    }

    /// A whole answer, unless it ends with its connection.
    std::string whole(framing how, std::size_t body_bytes) const
    {
        const std::string body(body_bytes, 'a');
        switch (how)
        {
        case framing::length:
            return this->head() + fmt::format("Content-Length: {}\r\n\r\n{}",
                                              body_bytes, body);
        case framing::chunks:
            return this->chunked_head() + chunk(body) + "0\r\n\r\n";
        case framing::until_close:
            break;
        }
        return this->head() + "\r\n" + body;
    }

    /// The beginning of an answer, with a part of its body.
    std::string part(framing how, std::size_t part_bytes) const
    {
        const std::string body(part_bytes, 'a');
        switch (how)
        {
        case framing::length:
            return this->head() + fmt::format("Content-Length: {}\r\n\r\n{}",
                                              2 * part_bytes + 1, body);
        case framing::chunks:
            return this->chunked_head() + chunk(body);
        case framing::until_close:
            break;
        }
        return this->head() + "\r\n" + body;
    }

    /// Whole answers with a first line that states no valid status.
    std::vector<std::string> with_bad_status() const
    {
        std::vector<std::string> texts;
        for (const char* status :
             {"000", "001", "099", "0", "20", "2000", "-20", "2x0", "\x01\x32"})
        {
            texts.push_back(this->head(status) +
                            "Content-Length: 3\r\n\r\nabc");
            texts.push_back(this->head(status) + "\r\nabc");
        }
        return texts;
    }

    /// Whole answers in whose head the name of one field is malformed. Some of
    /// these fields state the length of the body.
    std::vector<std::string> with_bad_name() const
    {
        using namespace std::string_literals;
        std::vector<std::string> texts;
        for (const std::string& line :
             {"Two Words: 1"s, "Blank : 1"s, "Tab\t: 1"s, "Ta\tb: 1"s,
              "Control\x01: 1"s, "\x7f: 1"s, "N\0ul: 1"s, "Return\r: 1"s,
              ": 1"s, "No colon"s, "Content Length: 3"s, "Content-Length : 3"s,
              "Transfer-Encoding : chunked"s})
        {
            texts.push_back(this->head() + line + "\r\n\r\nabc");
            texts.push_back(this->head() + line +
                            "\r\nContent-Length: 3\r\n\r\nabc");
        }
        return texts;
    }

    /// Whole answers in whose head one line begins with a blank: it would
    /// change what the line above it says, or be a field of its own.
    std::vector<std::string> with_folded_line() const
    {
        std::vector<std::string> texts;
        for (const char* line : {" folded", "\tfolded", " Content-Length: 3",
                                 "\tTransfer-Encoding: chunked", " ", "\t "})
        {
            // Below the header of a success or the request id, below any other
            // and below the status line.
            const std::string last = std::string(line) + "\r\n";
            const std::string length = "Content-Length: 3\r\n";
            texts.push_back(this->head() + last + "\r\nabc");
            texts.push_back(this->head() + last + length + "\r\nabc");
            texts.push_back(this->head() + length + last + "\r\nabc");
            texts.push_back(this->head() + "A: b\r\n" + last + length +
                            "\r\nabc");
            std::string first = this->head() + length + "\r\nabc";
            first.insert(first.find("\r\n") + 2, last);
            texts.push_back(first);
        }
        return texts;
    }

    std::string chunked_head() const
    {
        return this->head() + "Transfer-Encoding: chunked\r\n\r\n";
    }

    /// The chunk of a body; empty for an empty part, which would end the body.
    static std::string chunk(const std::string& body)
    {
        return body.empty() ? std::string()
                            : fmt::format("{:x}\r\n{}\r\n", body.size(), body);
    }

private:
    net::http_interface names;
};

} // namespace medlarbarrow::tests
