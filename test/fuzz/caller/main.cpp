/// Fuzzes what callers send: request lines, bodies and stored answers.

#include "caller/CallerApi.h"
#include "engine/Prompt.h"
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace limpetpond;

namespace {

void require(bool condition)
{
    if (!condition)
        std::abort();
}

void checkRoute(std::string_view text)
{
    const RoutedCall call = routeCall("POST", text, text);
    require(call.route == CallRoute::Service || call.service.empty());
    isPlainPath(text, text);
}

void checkPrompt(std::string_view text)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(request, parsePrompt(text));
            require(request.maxAnswerTokens.count() >= 0);
            const std::size_t blocks = prefixBlocks(request.prompt).size();
            require(blocks <= request.prompt.size());
            return {};
        },
        [] {});
}

void checkStoredAnswer(std::string_view text)
{
    const std::optional<HttpResponse> answer = decodeStoredAnswer(text);
    if (!answer)
        return;
    const std::optional<HttpResponse> again = decodeStoredAnswer(encodeStoredAnswer(*answer));
    require(again && again->status == answer->status && again->body == answer->body);
}

} // namespace

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    checkRoute(text);
    checkPrompt(text);
    checkStoredAnswer(text);
    return 0;
}
