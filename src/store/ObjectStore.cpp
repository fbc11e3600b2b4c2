#include "store/ObjectStore.h"

#include <utility>

namespace limpetpond {

namespace {

    auto statusError(const HttpResponse& answer)
    {
        CallError error { .failure = CallFailure::Refused, .status = answer.status, .detail = "the object store answered with an error" };
        if (answer.status == 429 || answer.status == 503)
            error.failure = CallFailure::Throttled;
        else if (answer.status >= 500)
            error.failure = CallFailure::NoAnswer;
        return boost::leaf::new_error(std::move(error));
    }

} // namespace

ObjectStore::ObjectStore(HttpEndpoint endpoint, std::string bucket, HttpTimeouts timeouts)
    : m_bucket(std::move(bucket))
    , m_pool(std::move(endpoint), timeouts)
{
}

Result<std::optional<std::string>> ObjectStore::get(const std::string& key)
{
    BOOST_LEAF_ASSIGN(HttpResponse answer, m_pool.call({ .path = pathOf(key) }));
    if (answer.status == 404)
        return std::optional<std::string>();
    if (answer.status != 200)
        return statusError(answer);
    return std::optional(std::move(answer.body));
}

Result<void> ObjectStore::put(const std::string& key, const std::string& body, const std::string& contentType)
{
    BOOST_LEAF_ASSIGN(HttpResponse answer, m_pool.call({ .method = "PUT", .path = pathOf(key), .contentType = contentType, .body = body }));
    if (answer.status != 200)
        return statusError(answer);
    return {};
}

std::string ObjectStore::pathOf(const std::string& key) const
{
    return '/' + m_bucket + '/' + key;
}

} // namespace limpetpond
