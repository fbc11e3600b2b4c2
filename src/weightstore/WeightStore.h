#pragma once

/// The rate-limited store of model weights, by HTTP range requests.

#include "http/HttpClient.h"
#include "limpetpond/Units.h"
#include <chrono>
#include <string>

namespace limpetpond {

/// The store asks to come back later.
struct WeightStoreBusy {
    std::chrono::seconds retryAfter { 1 };
};

struct WeightRange {
    ByteCount first;
    ByteCount length;
};

struct WeightPart {
    std::string data;
    ByteCount total; ///< The size of the whole object.
};

/// Reads a part of an object. Fails with `WeightStoreBusy` on 429, else with `CallError`.
///
///     Result<WeightPart> part = readWeights(pool, "/weights/draft-7b", { ByteCount(0), ByteCount(1 << 20) });
Result<WeightPart> readWeights(HttpConnectionPool&, const std::string& path, const WeightRange&);

} // namespace limpetpond
