#include "weightstore/WeightStore.h"

#include <charconv>
#include <optional>

namespace limpetpond {

namespace {

    template <typename Number>
    std::optional<Number> parseNumber(std::string_view text)
    {
        Number out = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return out;
    }

    auto failed(CallFailure failure, int status, std::string detail)
    {
        return boost::leaf::new_error(CallError { .failure = failure, .status = status, .detail = std::move(detail) });
    }

} // namespace

Result<WeightPart> readWeights(HttpConnectionPool& pool, const std::string& path, const WeightRange& range)
{
    const std::int64_t first = range.first.count();
    const std::int64_t last = first + range.length.count() - 1;
    HttpRequest request { .path = path };
    request.headers = { { "Range", "bytes=" + std::to_string(first) + '-' + std::to_string(last) } };
    BOOST_LEAF_ASSIGN(HttpResponse answer, pool.call(request));
    if (answer.status == 429) {
        auto seconds = parseNumber<int>(headerValue(answer.headers, "Retry-After")).value_or(1);
        return boost::leaf::new_error(WeightStoreBusy { .retryAfter = std::chrono::seconds(seconds) });
    }
    if (answer.status != 206)
        return failed(CallFailure::Refused, answer.status, "the weight store did not answer with partial content");
    std::string contentRange = headerValue(answer.headers, "Content-Range");
    auto total = parseNumber<std::int64_t>(std::string_view(contentRange).substr(contentRange.find('/') + 1));
    if (!total)
        return failed(CallFailure::Malformed, answer.status, "Content-Range has no valid object size");
    return WeightPart { .data = std::move(answer.body), .total = ByteCount(*total) };
}

} // namespace limpetpond
