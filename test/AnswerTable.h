#pragma once

/// Answers that break the rules of HTTP, and unusual ones that keep them.

#include <cstdio>
#include <string>
#include <vector>

namespace limpetpond {

/// An answer as a server writes it, in parts that a test may add to.
struct AnswerText {
    std::string name; ///< For the messages of checks.
    std::string interim; ///< Whole answers with a 1xx status before the answer itself.
    std::string statusLine { "HTTP/1.1 200 OK" };
    std::string fields; ///< Whole lines.
    std::string body; ///< With what frames it.

    /// The bytes, with further lines before the fields.
    std::string bytes(const std::string& furtherFields = "") const { return interim + statusLine + "\r\n" + furtherFields + fields + "\r\n" + body; }
};

/// A text that control bytes can be read in.
inline std::string printable(const std::string& text)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string out;
    for (unsigned char byte : text) {
        if (byte >= ' ' && byte < 0x7f)
            out += static_cast<char>(byte);
        else
            out.append("\\x").append(1, digits[byte >> 4]).append(1, digits[byte & 15]);
    }
    return out;
}

/// Answers that no reader may take for one; the name says what breaks the rules.
inline std::vector<AnswerText> brokenAnswers(const std::string& body)
{
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::vector<AnswerText> out;
    auto addStatusLine = [&](const std::string& line) { out.push_back({ .name = printable(line), .statusLine = line, .fields = length, .body = body }); };
    auto addFields = [&](const std::string& lines) { out.push_back({ .name = printable(lines), .fields = lines + length, .body = body }); };
    auto addFraming = [&](const std::string& lines, const std::string& framed) { out.push_back({ .name = printable(lines + "\r\n" + framed), .fields = lines, .body = framed }); };

    for (const char* status : { "000", "001", "010", "099", "00", "20", "2", "2000", "20x", "2 0", "-20", "+20", " 200", "0x0", "" })
        addStatusLine("HTTP/1.1 " + std::string(status) + " OK");
    for (const char* line : { "", "200 OK", "HTTP/1.1", "HTTP/1.1200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200OK", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "http/1.1 200 OK", "HTTP/1.x 200 OK", "ICY 200 OK" })
        addStatusLine(line);
    addStatusLine(std::string("HTTP/1.1 200 O\x01K"));
    addStatusLine(std::string("HTTP/1.1 200 O\0K", 16));

    const std::string noNameBytes = " \"(),/:;<=>?@[\\]{}";
    for (int byte = 0; byte < 256; ++byte) {
        bool isInName = byte > ' ' && byte < 0x7f && noNameBytes.find(static_cast<char>(byte)) == std::string::npos;
        if (isInName || byte == ':')
            continue;
        std::string text(1, static_cast<char>(byte));
        addFields("X-" + text + "Odd: 1\r\n");
        addFields("X-Odd" + text + ": 1\r\n");
    }
    addFields(": 1\r\n");
    addFields(" : 1\r\n");
    addFields("X-Odd\r\n");
    addFields("odd line\r\n");
    addFields("X-Odd: 1\nX-Other: 2\r\n");
    addFields("X-Odd: a\x01"
              "b\r\n");
    addFields(std::string("X-Odd: a\0b\r\n", 12));
    addFields("X-Odd: a\x7f\r\n");
    addFields("X-Odd: a\rb\r\n");

    addFraming("Content-Length : " + std::to_string(body.size()) + "\r\n", body);
    addFraming("Transfer-Encoding : chunked\r\n", body);
    addFraming("Content-Length: x\r\n", body);
    addFraming("Content-Length: -1\r\n", body);
    addFraming("Content-Length: 99999999999999999999999\r\n", body);
    addFraming("Content-Length: 1\r\nContent-Length: 2\r\n", body);
    addFraming("Content-Length: " + std::to_string(body.size() + 1) + "\r\n", body);
    addFraming("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n");
    addFraming("Transfer-Encoding: gzip\r\n", body);
    addFraming("Transfer-Encoding: chunked\r\n", "x\r\n" + body);
    addFraming("Transfer-Encoding: chunked\r\n", "1\r\nab\r\n0\r\n\r\n");
    addFraming("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n");
    addFraming("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n");
    addFraming("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\nX Odd: 1\r\n\r\n");

    out.push_back({ .name = "an interim answer alone", .statusLine = "HTTP/1.1 100 Continue" });
    out.push_back({ .name = "a status of 000 before the answer", .interim = "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", .fields = length, .body = body });
    out.push_back({ .name = "a bad name in an interim answer", .interim = "HTTP/1.1 102 Processing\r\nX Odd: 1\r\n\r\n", .fields = length, .body = body });
    return out;
}

/// Answers with this body that every reader must take.
inline std::vector<AnswerText> soundAnswers(const std::string& body)
{
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    char size[20];
    std::snprintf(size, sizeof size, "%zx", body.size() - 1);
    auto chunks = [&](const std::string& extension, const std::string& trailers) {
        return "1" + extension + "\r\n" + body.substr(0, 1) + "\r\n" + size + "\r\n" + body.substr(1) + "\r\n0\r\n" + trailers + "\r\n";
    };
    std::vector<AnswerText> out;
    auto add = [&](const std::string& name, const std::string& fields, const std::string& framed) { out.push_back({ .name = name, .fields = fields, .body = framed }); };
    add("a length", length, body);
    add("a length without a blank", "content-length:" + std::to_string(body.size()) + "\r\n", body);
    add("blanks around a value", "Content-Length: \t " + std::to_string(body.size()) + " \t\r\n", body);
    add("chunks", chunked, chunks("", ""));
    add("chunks with an extension", chunked, chunks(";a=b", ""));
    add("a trailer", chunked + "Trailer: X-Sum\r\n", chunks("", "X-Sum: 1\r\n"));
    add("trailers", chunked, chunks("", "X-Sum: 1\r\nX-Other: 2\r\n"));
    add("an end without a length", "", body);
    add("an empty value", "X-Odd:\r\n" + length, body);
    add("a value with bytes above 0x7f", "X-Odd: \xc3\xa4\r\n" + length, body);
    add("a value with a tab and a colon", "X-Odd: a\tb: c\r\n" + length, body);
    for (char byte : std::string("!#$%&'*+-.^_`|~09AZaz")) {
        add(std::string("a name with ") + byte, std::string("X-") + byte + ": 1\r\n" + length, body);
        add(std::string("a name of ") + byte, std::string(1, byte) + ": 1\r\n" + length, body);
    }
    out.push_back({ .name = "an empty reason", .statusLine = "HTTP/1.1 200 ", .fields = length, .body = body });
    out.push_back({ .name = "a reason with bytes above 0x7f", .statusLine = "HTTP/1.1 200 \xc3\xa4", .fields = length, .body = body });
    out.push_back({ .name = "HTTP/1.0", .statusLine = "HTTP/1.0 200 OK", .fields = length, .body = body });
    out.push_back({ .name = "HTTP/1.0 without a length", .statusLine = "HTTP/1.0 200 OK", .body = body });
    for (const char* interim : { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\nX-Odd: 1\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
             "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" }) {
        out.push_back({ .name = printable(interim), .interim = interim, .fields = length, .body = body });
        out.push_back({ .name = printable(interim) + " and chunks", .interim = interim, .fields = chunked, .body = chunks("", "") });
        out.push_back({ .name = printable(interim) + " and an end without a length", .interim = interim, .body = body });
    }
    return out;
}

} // namespace limpetpond
