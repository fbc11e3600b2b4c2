#pragma once

/// Client of the rate-limited store of model weights, which is read by HTTP range requests.

#include "http/HttpClient.h"
#include "limpetpond/Units.h"
#include <chrono>
#include <string>

namespace limpetpond {

/// The store answered 429; the read may be retried after this time.
struct WeightStoreBusy {
    std::chrono::seconds retryAfter { 1 };
};

/// A range of bytes in an object.
struct WeightRange {
    ByteCount first;
    ByteCount length;
};

struct WeightPart {
    std::string data;
    ByteCount total; ///< The size of the whole object.
};

/// Reads a range of an object. Fails with `WeightStoreBusy` on status 429, otherwise with `CallError`.
///
///     Result<WeightPart> part = readWeights(pool, "/weights/draft-7b", { ByteCount(0), ByteCount(1 << 20) });
Result<WeightPart> readWeights(HttpConnectionPool&, const std::string& path, const WeightRange&);

} // namespace limpetpond
