#include "caller/CallerServer.h"
#include "test/RawConnection.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::milliseconds;

TEST_GROUP(CallerServer)
{
    CallerServerOptions options { .listen = { "127.0.0.1", 0 }, .maxConnections = 4, .maxHeaders = ByteCount { 2048 }, .maxBody = ByteCount { 1000 }, .readTimeout = milliseconds(200), .keepAliveTimeout = milliseconds(2000) };
    std::unique_ptr<CallerServer> server;
    int port { 0 };
    std::atomic<int> served { 0 };

    void setup() override { start(); }
    void teardown() override { server->stop(); }

    void start()
    {
        server = std::make_unique<CallerServer>(
            options,
            [this](const httplib::Request& request, httplib::Response& response, CallerConnection& connection) {
                ++served;
                auto type = connection.headers.find("Content-Type");
                response.status = connection.isOverLimit ? 503 : 200;
                response.set_header("Limpetpond-Outcome", "completed");
                response.set_content(request.method + " " + request.path + " " + (type == connection.headers.end() ? "" : type->second) + " " + request.body, "text/plain");
            },
            [](const httplib::Request&, httplib::Response& response, CallerConnection&) {
                response.set_header("Limpetpond-Outcome", "not_run");
                response.set_content("refused " + std::to_string(response.status), "text/plain");
            });
        port = *server->start();
    }

    std::string exchange(const std::string& text)
    {
        RawConnection connection(port);
        connection.send(text);
        return connection.readAnswer();
    }
};

TEST(CallerServer, bodyAndContentTypePassThroughUnchanged)
{
    std::string body = "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--b--\r\n";
    std::string answer = exchange("POST /x HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    STRCMP_CONTAINS(("POST /x multipart/form-data; boundary=b " + body).c_str(), answer.c_str());
}

TEST(CallerServer, bodyWithoutLengthIsEmpty)
{
    STRCMP_CONTAINS("DELETE /x  ", exchange("DELETE /x HTTP/1.1\r\nHost: h\r\n\r\n").c_str());
    STRCMP_CONTAINS("POST /x  ", exchange("POST /x HTTP/1.1\r\nHost: h\r\n\r\n").c_str());
}

TEST(CallerServer, connectionIsReusedAndSplitRequestsAreRead)
{
    RawConnection connection(port);
    for (int i = 0; i < 8; ++i) {
        connection.send("GET /a HT");
        connection.send("TP/1.1\r\nHost: h\r\n\r\n");
        STRCMP_CONTAINS("GET /a", connection.readAnswer().c_str());
    }
}

TEST(CallerServer, pipelinedRequestsAreAnsweredInOrder)
{
    RawConnection connection(port);
    connection.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    STRCMP_CONTAINS("GET /a", connection.readAnswer().c_str());
    STRCMP_CONTAINS("GET /b", connection.readAnswer().c_str());
}

TEST(CallerServer, malformedRequestsGetA400)
{
    for (const char* text : { "nonsense\r\n\r\n", "GET /x HTTP/9.9\r\n\r\n", "FETCH /x HTTP/1.1\r\nHost: h\r\n\r\n",
             "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: abc\r\n\r\n", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
             "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
             "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
             "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" })
        STRCMP_CONTAINS_TEXT("HTTP/1.1 400 ", exchange(text).c_str(), text);
    LONGS_EQUAL(0, served);
}

TEST(CallerServer, refusalHasAnOutcomeAndClosesTheConnection)
{
    RawConnection connection(port);
    connection.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: abc\r\n\r\n");
    std::string answer = connection.readAnswer();
    STRCMP_CONTAINS("Limpetpond-Outcome: not_run", answer.c_str());
    STRCMP_CONTAINS("refused 400", answer.c_str());
    CHECK(connection.isClosed());
}

TEST(CallerServer, largeBodiesGetA413)
{
    STRCMP_CONTAINS("HTTP/1.1 413 ", exchange("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n").c_str());
    STRCMP_CONTAINS("HTTP/1.1 413 ", exchange("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999\r\n\r\n").c_str());
    std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    std::string chunked = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 40; ++i)
        chunked += chunk;
    STRCMP_CONTAINS("HTTP/1.1 413 ", exchange(chunked + "0\r\n\r\n").c_str());
    LONGS_EQUAL(0, served);
}

TEST(CallerServer, largeHeadersGetA431)
{
    STRCMP_CONTAINS("HTTP/1.1 431 ", exchange("GET /x HTTP/1.1\r\nHost: h\r\nX-A: " + std::string(4000, 'a') + "\r\n\r\n").c_str());
    STRCMP_CONTAINS("HTTP/1.1 431 ", exchange("GET /" + std::string(4000, 'a') + " HTTP/1.1\r\n\r\n").c_str());
    std::string many = "GET /x HTTP/1.1\r\nHost: h\r\n";
    for (int i = 0; i < 400; ++i)
        many += "X-A: a\r\n";
    STRCMP_CONTAINS("HTTP/1.1 431 ", exchange(many + "\r\n").c_str());
}

TEST(CallerServer, unfinishedRequestGetsA408AfterTheReadTimeout)
{
    STRCMP_CONTAINS("HTTP/1.1 408 ", exchange("GET /x HTTP/1.1\r\nHost").c_str());
    STRCMP_CONTAINS("HTTP/1.1 408 ", exchange("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab").c_str());
}

TEST(CallerServer, connectionOverTheLimitIsMarked)
{
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int i = 0; i < options.maxConnections; ++i) {
        connections.push_back(std::make_unique<RawConnection>(port));
        connections.back()->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        STRCMP_CONTAINS("HTTP/1.1 200 ", connections.back()->readAnswer().c_str());
    }
    STRCMP_CONTAINS("HTTP/1.1 503 ", exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n").c_str());
}

TEST(CallerServer, portInUseIsAnInvalidSetting)
{
    CallerServer second({ .listen = { "127.0.0.1", port } }, {}, {});
    std::string name = boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(second.start());
            return std::string();
        },
        [](const InvalidSetting& invalid) { return invalid.name; },
        [] { return std::string("untyped"); });
    STRCMP_EQUAL("--caller_port", name.c_str());
}
